// Rattanline is the operators' program.
package main

import (
	"os"

	"rattanline.example/rattanline/command"
	"rattanline.example/rattanline/demo"
)

func main() {
	root := command.Root(os.Stdout, os.Stderr)
	root.AddCommand(demo.Command())
	os.Exit(command.Run(root, os.Args[1:]))
}
