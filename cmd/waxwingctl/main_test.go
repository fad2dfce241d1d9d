package main

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/waxwingloom/waxwingloom/internal/document/editor"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/front/operator"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/route/placer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"waxwingctl": func() { os.Exit(run()) }})
}

type singleMember struct{}

func (singleMember) Members() []tracker.Member { return nil }

func (singleMember) Self() tracker.Member {
	return tracker.Member{VM: "vm1", Zone: "z1", CallerAddress: "127.0.0.1:1"}
}

// adoptingEditor passes each accepted edit to the keeper at once, as a watcher of the
// store would.
type adoptingEditor struct {
	*editor.Editor
	store     *storer.Storer
	documents *keeper.Keeper
}

func (a *adoptingEditor) Apply(ctx context.Context, e editor.Edit) editor.Result {
	r := a.Editor.Apply(ctx, e)
	if head, _, err := editor.ReadHead(ctx, a.store); err == nil {
		if sources, err := editor.ReadSources(ctx, a.store, head); err == nil {
			_, _ = a.documents.Adopt(head, sources)
		}
	}
	return r
}

// TestScripts runs the client's scripts, each against its own operators' listener and
// simulated store. The operator's token hash is that of the token "secret".
func TestScripts(t *testing.T) {
	t.Parallel()
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: func(env *testscript.Env) error {
		clock := clockwork.NewRealClock()
		platformServer := httptest.NewServer(storekeeper.New(clock).Handler())
		env.Defer(platformServer.Close)
		store, cleanup := platform.NewStorer(strings.TrimPrefix(platformServer.URL, "http://"))
		env.Defer(cleanup)
		documents := keeper.New(slog.New(slog.DiscardHandler))
		liveTable := placer.NewLiveTable(func() []tracker.Member { return []tracker.Member{singleMember{}.Self()} })
		documents.Subscribe(liveTable.SetDocument)
		operators := []loader.Operator{{
			Name: "kai", TokenHash: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
			Sections: []string{"services", "places", "drains"},
		}}
		deps := operator.Dependencies{
			Editor: &adoptingEditor{Editor: editor.New(store, clock), store: store, documents: documents}, Documents: documents, Members: singleMember{}, Placer: liveTable,
		}
		daemon := httptest.NewServer(operator.New(deps, operators, clock, slog.New(slog.DiscardHandler)).Handler())
		env.Defer(daemon.Close)
		env.Setenv("WAXWING_DAEMON", strings.TrimPrefix(daemon.URL, "http://"))
		env.Setenv("WAXWING_TOKEN_FILE", "token")
		return nil
	}})
}
