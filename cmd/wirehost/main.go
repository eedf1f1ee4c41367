// Command wirehost hosts gateways on standard input and output.
package main

import (
	"fmt"
	"os"

	"gannetspur/internal/wire"
)

func main() {
	if err := wire.NewHost().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
