package divider_test

import (
	"fmt"

	"github.com/waxwingloom/waxwingloom/internal/share/divider"
)

// The six slots of an upstream are divided among the two entry VMs of its zone.
func ExampleShare() {
	fmt.Println(divider.Share(6, 2, 1, "bd-01"), divider.Share(6, 2, 2, "bd-01"))
	// Output: 3 3
}
