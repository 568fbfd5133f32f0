// Command mulberryhaven runs the daemons of the fleet manager and talks to them.
package main

import (
	"os"

	"github.com/mulberryhaven/mulberryhaven/internal/commander"
)

func main() {
	os.Exit(commander.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
