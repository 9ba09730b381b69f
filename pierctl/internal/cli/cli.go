// Package cli is the command line of pierctl.
package cli

// Run executes the program and returns its exit code.
func Run(args []string) int {
	return 0
}
