// Rattanline is the operators' program.
package main

import (
	"os"

	"rattanline.example/rattanline/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
