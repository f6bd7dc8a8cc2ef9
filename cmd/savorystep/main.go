// Command savorystep is a global traffic steering system.
package main

import (
	"os"

	"savorystep/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
