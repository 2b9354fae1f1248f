package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bramleymill/keys"
	"bramleymill/operator"
	"bramleymill/strictjson"
)

const (
	addressVariable = "BRAMLEYMILL_ADDRESS"
	outputText      = "text"
	outputJSON      = "json"
	dialTimeout     = 2 * time.Second
)

// errUnconfirmed is wrapped by two errors. One reports that a change was accepted but
// that not every live node has confirmed it. The other reports that the status was read
// but that a majority did not confirm the versions.
var errUnconfirmed = errors.New("not confirmed")

// options are the flags of all commands that send requests to a node.
type options struct {
	addresses   []string
	files       keys.Files
	contextPath string
	output      string
	timeout     time.Duration
}

// contextFile is the JSON form of a context file. Relative paths are resolved from
// the folder of the file.
type contextFile struct {
	Addresses   []string `json:"addresses,omitempty"`
	Authority   string   `json:"authority,omitempty"`
	Certificate string   `json:"certificate,omitempty"`
	PrivateKey  string   `json:"private_key,omitempty"`
}

func (o *options) addFlags(root *cobra.Command) {
	f := root.PersistentFlags()
	f.StringArrayVar(&o.addresses, "address", nil, "admin address of a node as host:port; repeat the flag for several, which are used in order until one answers")
	f.StringVar(&o.files.Authority, "authority", "", "certificate file of the trusted authority")
	f.StringVar(&o.files.Certificate, "certificate", "", "certificate file of the operator")
	f.StringVar(&o.files.PrivateKey, "private-key", "", "private key file of the operator")
	f.StringVar(&o.contextPath, "context", "", "JSON file with addresses and key files (default bramleymillctl.json in the user's configuration folder, if it exists)")
	f.StringVar(&o.output, "output", outputText, "output format: text or json")
	f.DurationVar(&o.timeout, "timeout", 20*time.Second, "time limit of a request, including all its retries")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
}

// resolve sets options that are not given as flags from the environment and the
// context file, and validates the result.
func (o *options) resolve() error {
	if o.output != outputText && o.output != outputJSON {
		return fmt.Errorf("--output %s: use text or json", o.output)
	}
	if env := os.Getenv(addressVariable); len(o.addresses) == 0 && env != "" {
		o.addresses = strings.Split(env, ",")
	}
	if err := o.readContext(); err != nil {
		return err
	}
	switch {
	case len(o.addresses) == 0:
		return fmt.Errorf("no address: use --address, %s or a context file", addressVariable)
	case o.files.Authority == "" || o.files.Certificate == "" || o.files.PrivateKey == "":
		return errors.New("key files are missing: use --authority, --certificate and --private-key or a context file")
	}
	return nil
}

// readContext sets options that are still empty from the context file. Without
// --context, the default file may be absent.
func (o *options) readContext() error {
	path := o.contextPath
	if path == "" {
		folder, err := os.UserConfigDir()
		if err != nil {
			return nil
		}
		path = filepath.Join(folder, "bramleymillctl.json")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		if o.contextPath == "" && errors.Is(err, os.ErrNotExist) {
			return nil
		}
		return fmt.Errorf("read context: %w", err)
	}
	var c contextFile
	if err := strictjson.Decode(b, &c); err != nil {
		return fmt.Errorf("context file %s:\n%w", path, err)
	}
	if len(o.addresses) == 0 {
		o.addresses = c.Addresses
	}
	folder := filepath.Dir(path)
	setDefaultPath(&o.files.Authority, folder, c.Authority)
	setDefaultPath(&o.files.Certificate, folder, c.Certificate)
	setDefaultPath(&o.files.PrivateKey, folder, c.PrivateKey)
	return nil
}

// setDefaultPath stores path, resolved from folder, in target if target is empty.
func setDefaultPath(target *string, folder, path string) {
	if *target != "" || path == "" {
		return
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(folder, path)
	}
	*target = path
}

// newClient resolves the options and returns a client for their addresses.
func (o *options) newClient() (*operator.Client, error) {
	if err := o.resolve(); err != nil {
		return nil, err
	}
	store, err := keys.Load(keys.Config{Files: o.files})
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		TLSClientConfig: store.AdminClient(),
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return operator.NewClient(&http.Client{Transport: transport}, o.addresses), nil
}

// withClient runs f with a client and with a context that has the time limit of
// --timeout.
func (o *options) withClient(c *cobra.Command, f func(ctx context.Context, client *operator.Client) error) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, cancel := context.WithTimeout(parent, o.timeout)
	defer cancel()
	return f(ctx, client)
}
