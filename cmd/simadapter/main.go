// Command simadapter runs simulated gateways for a simulator that drives them through standard input and output.
package main

import (
	"fmt"
	"os"

	"gannetspur/internal/simwire"
)

func main() {
	if err := simwire.NewHost().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
