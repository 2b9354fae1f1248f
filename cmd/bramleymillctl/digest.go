package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"bramleymill/customer"
)

func newKeyDigestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key-digest [FILE]",
		Short: "Print the digest of a customer's key for the class document",
		Long: `Print the SHA-256 digest of the key of a customer, for key_digests in the class
document. The key is the first line of FILE or of standard input. It is not an
argument, because other users of the machine can read the arguments of a process.

Use long random keys: the digest of a key that can be guessed reveals the key.`,
		Example: `  openssl rand -hex 32 | tee acme.key | bramleymillctl key-digest
  bramleymillctl key-digest acme.key`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			in := c.InOrStdin()
			if len(args) == 1 {
				file, err := os.Open(args[0])
				if err != nil {
					return fmt.Errorf("read key: %w", err)
				}
				defer file.Close()
				in = file
			}
			key, err := readCustomerKey(in)
			if err != nil {
				return err
			}
			return printLine(c.OutOrStdout(), "%s", customer.DigestOf(key))
		},
	}
}

// readCustomerKey reads a key that is the only line of in. A key must arrive unchanged in a
// header, whose value loses the spaces at its ends.
func readCustomerKey(in io.Reader) (string, error) {
	b, err := io.ReadAll(io.LimitReader(in, customer.MaxKeyBytes+3)) // a key, a line break and one more byte
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(b), "\n"), "\r")
	switch {
	case key == "" || len(key) > customer.MaxKeyBytes:
		return "", fmt.Errorf("the key must have 1 to %d bytes", customer.MaxKeyBytes)
	case strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return "", errors.New("the key must be one line without control characters")
	case strings.TrimSpace(key) != key:
		return "", errors.New("the key must not begin or end with a space")
	}
	return key, nil
}
