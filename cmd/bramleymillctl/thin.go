package main

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bramleymill/keys"
)

type target struct{ address, authority, certificate, key string }

func addThinCommands(root *cobra.Command) {
	t := &target{}
	f := root.PersistentFlags()
	var addresses []string
	f.StringArrayVar(&addresses, "address", nil, "admin address of a control instance")
	f.StringVar(&t.authority, "authority", "", "authority file")
	f.StringVar(&t.certificate, "certificate", "", "certificate file")
	f.StringVar(&t.key, "private-key", "", "private key file")
	call := func(method, path string, body []byte) error {
		t.address = addresses[0]
		return t.call(method, path, body)
	}
	apply := &cobra.Command{Use: "apply FILE", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		b, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		return call(http.MethodPost, "/v1/apply", b)
	}}
	apply.Flags().Bool("wait", false, "")
	apply.Flags().String("reason", "", "")
	root.AddCommand(apply,
		&cobra.Command{Use: "init", RunE: func(*cobra.Command, []string) error { return call(http.MethodPost, "/v1/init", nil) }},
		&cobra.Command{Use: "status", RunE: func(*cobra.Command, []string) error { return call(http.MethodGet, "/v1/status", nil) }})
}

func (t *target) call(method, path string, body []byte) error {
	store, err := keys.Load(keys.Config{Files: keys.Files{Authority: t.authority, Certificate: t.certificate, PrivateKey: t.key}, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: store.AdminClient()}, Timeout: 20 * time.Second}
	req, err := http.NewRequest(method, "https://"+t.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Change-Id", fmt.Sprint(time.Now().UnixNano()))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(answer)))
	}
	_, err = os.Stdout.Write(answer)
	return err
}
