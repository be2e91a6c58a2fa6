// Command rattanlined runs one daemon of the router fleet.
package main

import (
	"os"

	"rattanline.example/rattanline/daemon"
)

func main() { os.Exit(daemon.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
