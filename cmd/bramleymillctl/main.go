// Command bramleymillctl is the command line tool with which operators manage a
// fleet of nodes: its configuration, drain orders, crash suspects and keys.
package main

import (
	"errors"
	"io"
	"os"

	"github.com/spf13/cobra"

	"bramleymill/configstate"
	"bramleymill/errkind"
	"bramleymill/operator"
)

// Exit codes.
const (
	exitSuccess     = 0
	exitLocal       = 1 // usage or local error
	exitRefused     = 2 // refused: conflict, invalid, not found or not authorized
	exitUnconfirmed = 3 // not confirmed, or the outcome is not known
	exitUnreachable = 4 // no address is reachable
)

const rootHelp = `Operate a bramleymill fleet.

Commands that change something generate one change id. When an answer is lost,
they send the same change with the same id to the next --address. A change is
applied at most once, however often it is sent.

Exit codes:
  0  success
  1  usage error or local error, such as an unreadable file
  2  refused: version conflict, invalid document or trail, not found, not authorized
  3  not confirmed by a majority or by every node, or the outcome is not known
  4  no address is reachable

Connection settings are taken from the flags, then from the environment variable
BRAMLEYMILL_ADDRESS (addresses, comma-separated), then from the context file, a
JSON file of the form
  {"addresses": ["10.0.0.1:7400"], "authority": "keys/authority.pem",
   "certificate": "keys/ada.pem", "private_key": "keys/ada.key"}`

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "bramleymillctl",
		Short:         "Operate a bramleymill fleet",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var o options
	o.addFlags(root)
	root.AddCommand(
		newKeysCommand(), newKeyDigestCommand(),
		newInitCommand(&o),
		newApplyCommand(&o), newRollbackCommand(&o),
		newGetCommand(&o), newDiffCommand(&o), newStatusCommand(&o),
		newHistoryCommand(&o), newExplainCommand(&o), newEventsCommand(&o),
		newDrainCommand(&o), newUndrainCommand(&o),
		newEvacuateCommand(&o), newReturnCommand(&o),
		newSuspectsCommand(&o), newQuotasCommand(&o),
	)
	return root
}

// exitCode maps the error of a command to its exit code.
func exitCode(err error) int {
	var remote *operator.Error
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, operator.ErrUnreachable):
		return exitUnreachable
	case errors.Is(err, errUnconfirmed):
		return exitUnconfirmed
	case errors.Is(err, configstate.ErrTrailNotIntact):
		return exitRefused
	case !errors.As(err, &remote):
		return exitLocal
	case errkind.Lookup(remote.Kind).Outcome == errkind.Rejected:
		return exitRefused
	}
	return exitUnconfirmed
}

// run executes the command with args, writes an error to stderr and returns the
// exit code.
func run(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err != nil {
		_, _ = io.WriteString(stderr, "error: "+err.Error()+"\n")
	}
	return exitCode(err)
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
