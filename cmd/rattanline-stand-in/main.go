// Command rattanline-stand-in runs the stand-ins of the systems around the fleet
// for tests and demonstrations.
package main

import (
	"os"

	"rattanline.example/rattanline/standin"
)

func main() { os.Exit(standin.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
