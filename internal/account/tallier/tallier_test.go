package tallier_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/account/tallier"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// TestSummary checks that the largest accounts are shown one by one and all others together, also
// those beyond the number that are counted.
func TestSummary(t *testing.T) {
	t.Parallel()
	tally := tallier.New()
	tally.Record("large", http.StatusOK, authenticator.None)
	tally.Record("large", http.StatusTooManyRequests, authenticator.Limited)
	tally.Record("", http.StatusUnauthorized, authenticator.UnknownKey)
	for i := range 5000 {
		tally.Record(namer.Account(fmt.Sprint(i)), http.StatusServiceUnavailable, authenticator.None)
	}
	s := tally.Summary(1)
	assert.DeepEqual(t, s, tallier.Summary{
		Accounts: map[namer.Account]tallier.Counts{"large": {Requests: 2, Limited: 1}},
		Others:   tallier.Counts{Requests: 5000, Unavailable: 5000},
		Denials:  map[authenticator.Denial]int64{authenticator.Limited: 1, authenticator.UnknownKey: 1},
	})
}
