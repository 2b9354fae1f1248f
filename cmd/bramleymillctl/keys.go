package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bramleymill/fleet"
	"bramleymill/keys"
)

const day = 24 * time.Hour

type keyFlags struct {
	folder    string
	overwrite bool
	days      int
}

func (f *keyFlags) options() keys.Options {
	return keys.Options{Overwrite: f.overwrite, Validity: time.Duration(f.days) * day}
}

func newKeysCommand() *cobra.Command {
	var f keyFlags
	c := &cobra.Command{
		Use:   "keys",
		Short: "Create and rotate the keys of a fleet",
	}
	c.PersistentFlags().StringVar(&f.folder, "folder", "keys", "folder of the key files")
	c.PersistentFlags().IntVar(&f.days, "days", 0, "validity in days (default 397, authority 3650)")
	c.AddCommand(newKeysInitCommand(&f), newKeysIssueCommand(&f), newKeysFleetCommand(&f), newKeysRotateCommand(&f))
	return c
}

func addOverwrite(c *cobra.Command, f *keyFlags) {
	c.Flags().BoolVar(&f.overwrite, "overwrite", false, "replace existing key files")
}

func newKeysInitCommand(f *keyFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "init",
		Short: "Create the authority of a fleet",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := keys.InitAuthority(f.folder, f.options()); err != nil {
				return err
			}
			return printLine(c.OutOrStdout(), "%s: authority created", f.folder)
		},
	}
	addOverwrite(c, f)
	return c
}

func newKeysIssueCommand(f *keyFlags) *cobra.Command {
	var role string
	c := &cobra.Command{
		Use:   "issue NAME",
		Short: "Create the key and certificate of one node or operator",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return issue(c.OutOrStdout(), f, fleet.NodeID(args[0]), fleet.Role(role))
		},
	}
	c.Flags().StringVar(&role, "role", string(fleet.RoleNode), "node, control or operator")
	addOverwrite(c, f)
	return c
}

func issue(w io.Writer, f *keyFlags, name fleet.NodeID, role fleet.Role) error {
	if err := keys.Issue(f.folder, name, role, f.options()); err != nil {
		return err
	}
	return printLine(w, "%s: certificate with role %s issued", name, role)
}

func newKeysFleetCommand(f *keyFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet NAME[:ROLE]...",
		Short: "Create the authority unless it exists, and the keys of every name",
		Long: "Creates the authority unless it exists, and a key and certificate for every\n" +
			"name. The role is node unless stated.",
		Example: "  bramleymillctl keys fleet --folder keys control-1:control katalog-1 katalog-2 anna:operator",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return createFleet(c.OutOrStdout(), f, args)
		},
	}
	addOverwrite(c, f)
	return c
}

// createFleet never replaces the authority, with which every other key of the
// fleet would become useless.
func createFleet(w io.Writer, f *keyFlags, args []string) error {
	authority := f.options()
	authority.Overwrite, authority.Validity = false, 0
	switch err := keys.InitAuthority(f.folder, authority); {
	case err == nil:
		if err := printLine(w, "%s: authority created", f.folder); err != nil {
			return err
		}
	case !errors.Is(err, keys.ErrFileExists):
		return err
	}
	for _, a := range args {
		name, role, stated := strings.Cut(a, ":")
		if !stated {
			role = string(fleet.RoleNode)
		}
		if err := issue(w, f, fleet.NodeID(name), fleet.Role(role)); err != nil {
			return err
		}
	}
	return nil
}

func newKeysRotateCommand(f *keyFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "rotate",
		Short: "Replace the authority in three steps, or only the certificates",
		Long: "Replaces the authority without a restart: trust, copy authority.pem to every\n" +
			"process, reissue, copy the certificates and keys, drop, copy authority.pem again.\n" +
			"Running processes re-read their files. To renew the certificates under the same\n" +
			"authority, use renew alone.",
	}
	c.AddCommand(
		newRotateStepCommand("trust", "Create the next authority and trust both", func(w io.Writer) error {
			if err := keys.TrustNext(f.folder, f.options()); err != nil {
				return err
			}
			return printLine(w, "%s: two authorities are trusted", f.folder)
		}),
		newRotateStepCommand("reissue", "Sign every certificate with the next authority", func(w io.Writer) error {
			names, err := keys.Reissue(f.folder, f.options())
			return reportIssued(w, names, err)
		}),
		newRotateStepCommand("drop", "Trust only the authority that signs", func(w io.Writer) error {
			if err := keys.DropPrevious(f.folder); err != nil {
				return err
			}
			return printLine(w, "%s: one authority is trusted", f.folder)
		}),
		newRotateStepCommand("renew", "Issue every certificate again under the same authority", func(w io.Writer) error {
			names, err := keys.Renew(f.folder, f.options())
			return reportIssued(w, names, err)
		}),
	)
	return c
}

func newRotateStepCommand(use, short string, run func(w io.Writer) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return run(c.OutOrStdout()) },
	}
}

func reportIssued(w io.Writer, names []fleet.NodeID, err error) error {
	for _, n := range names {
		if err := printLine(w, "%s: certificate issued", n); err != nil {
			return err
		}
	}
	return err
}

func printLine(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format+"\n", args...)
	return err
}
