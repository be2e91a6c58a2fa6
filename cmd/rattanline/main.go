// Rattanline is the operators' program.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"rattanline.example/rattanline/capacity"
	"rattanline.example/rattanline/command"
	"rattanline.example/rattanline/demo"
)

func main() {
	measurements := &cobra.Command{Use: "measure", Short: "Measure fairness and the cost of control"}
	measurements.AddCommand(capacity.Command())
	root := command.Root(os.Stdout, os.Stderr)
	root.AddCommand(demo.Command(), measurements)
	os.Exit(command.Run(root, os.Args[1:]))
}
