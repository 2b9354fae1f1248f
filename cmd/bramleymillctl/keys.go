package main

import "github.com/spf13/cobra"

func newKeysCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "keys",
		Short: "Create and rotate the keys of a fleet",
	}
}
