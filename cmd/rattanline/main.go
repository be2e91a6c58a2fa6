// Command rattanline is the operators' program: it changes the configuration of
// the fleet, shows its state, and runs the demonstration, the measurements and the
// soak test.
package main

import (
	"os"

	"rattanline.example/rattanline/capacity"
	"rattanline.example/rattanline/command"
	"rattanline.example/rattanline/demo"
	"rattanline.example/rattanline/fairness"
	"rattanline.example/rattanline/measure"
	"rattanline.example/rattanline/soak"
)

func main() {
	measurements := measure.Command()
	measurements.AddCommand(capacity.Command())
	root := command.Root(os.Stdout, os.Stderr)
	root.AddCommand(demo.Command(), measurements, fairness.Command(), soak.Command())
	os.Exit(command.Run(root, os.Args[1:]))
}
