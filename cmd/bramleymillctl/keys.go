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
		Short: "Create and rotate the keys and certificates of a fleet",
	}
	c.PersistentFlags().StringVar(&f.folder, "folder", "keys", "folder of the key files")
	c.PersistentFlags().IntVar(&f.days, "days", 0, "validity in days (default 397 for certificates, 3650 for the authority)")
	c.AddCommand(newKeysInitCommand(&f), newKeysIssueCommand(&f), newKeysFleetCommand(&f), newKeysRotateCommand(&f))
	return c
}

func addOverwrite(c *cobra.Command, f *keyFlags) {
	c.Flags().BoolVar(&f.overwrite, "overwrite", false, "replace existing key files")
}

func newKeysInitCommand(f *keyFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "init",
		Short: "Create the certificate authority of a fleet",
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
	c.Flags().StringVar(&role, "role", string(fleet.RoleNode), "role: node, control or operator")
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
		Short: "Create the authority, unless it exists, and a key and certificate for every name",
		Long: "Create the certificate authority, unless it exists, and a key and certificate for\n" +
			"every name. The default role is node.",
		Example: "  bramleymillctl keys fleet --folder keys control-1:control katalog-1 katalog-2 anna:operator",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return createFleet(c.OutOrStdout(), f, args)
		},
	}
	addOverwrite(c, f)
	return c
}

// createFleet creates the keys of a fleet. It does not replace an existing authority,
// even with --overwrite. Otherwise the certificates that the existing authority signed
// would no longer be accepted.
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
		Short: "Replace the certificate authority in three steps, or renew only the certificates",
		Long: "Replace the certificate authority without a restart of any process: run trust and\n" +
			"copy authority.pem to every process; run reissue and copy the certificates and\n" +
			"keys; run drop and copy authority.pem again. Running processes reload their files.\n" +
			"To renew the certificates with the same authority, run only renew.",
	}
	c.AddCommand(
		newRotateStepCommand("trust", "Step 1: create the next authority and trust both authorities", func(w io.Writer) error {
			if err := keys.TrustNext(f.folder, f.options()); err != nil {
				return err
			}
			return printLine(w, "%s: two authorities are trusted", f.folder)
		}),
		newRotateStepCommand("reissue", "Step 2: issue every certificate again, signed by the next authority", func(w io.Writer) error {
			names, err := keys.Reissue(f.folder, f.options())
			return reportIssued(w, names, err)
		}),
		newRotateStepCommand("drop", "Step 3: trust only the authority that now signs", func(w io.Writer) error {
			if err := keys.DropPrevious(f.folder); err != nil {
				return err
			}
			return printLine(w, "%s: one authority is trusted", f.folder)
		}),
		newRotateStepCommand("renew", "Issue every certificate again with the same authority", func(w io.Writer) error {
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
