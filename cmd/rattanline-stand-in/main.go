// Command rattanline-stand-in runs stand-ins for the systems that the fleet
// depends on, for tests and demonstrations.
package main

import (
	"os"

	"rattanline.example/rattanline/standin"
)

func main() { os.Exit(standin.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
