package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// show prints v as JSON, or calls text if the output format is text.
func (o *options) show(c *cobra.Command, v any, text func(w io.Writer)) error {
	if o.output == outputJSON {
		return writeJSON(c.OutOrStdout(), v)
	}
	text(c.OutOrStdout())
	return nil
}

func writeJSON(w io.Writer, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = w.Write(append(b, '\n'))
	return err
}

// printTable prints rows in aligned columns, with "-" for an empty cell. The first
// row is the heading.
func printTable(w io.Writer, rows [][]any) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			if cell == "" {
				cell = "-"
			}
			fmt.Fprint(t, cell)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
}
