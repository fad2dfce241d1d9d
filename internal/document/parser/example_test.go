package parser_test

import (
	"fmt"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
)

// Parse reports all problems at once, each with its position.
func ExampleParse() {
	_, err := parser.Parse(parser.Sources{
		{Section: parser.Services, Text: []byte("[service desk]\nttl = soon\n")},
		{Section: parser.Drains, Text: []byte("[drain d]\nkind = zone\ntarget = nowhere\n")},
	})
	fmt.Println(err)
	// Output:
	// services.ini:2: [service desk] ttl: "soon" is not a duration such as 250ms or 5s
	// drains.ini:3: [drain d] target: no zone "nowhere" in places
}
