package divider_test

import (
	"fmt"

	"github.com/waxwingloom/waxwingloom/internal/share/divider"
)

// Six slots of an upstream, divided among the two entry VMs of its zone.
func ExampleShare() {
	fmt.Println(divider.Share(6, 2, 1, "bd-01"), divider.Share(6, 2, 2, "bd-01"))
	// Output: 3 3
}
