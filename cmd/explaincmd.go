package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// explainOptions are the options of the explain command.
type explainOptions struct {
	clientFlags

	origin string
}

func newExplainCmd() *cobra.Command {
	o := &explainOptions{}
	cmd := &cobra.Command{
		Use:   "explain NAME",
		Short: "Tell how a lookup is decided",
		Long: `Tell how a lookup of a name from a place is decided: which service it leads to,
which region and entries are chosen, and why.`,
		Example: `  savorystep explain statsu --from natal
  savorystep explain orders --from 10.3.0.7 --output json`,
		RunE: func(cmd *cobra.Command, args []string) error { return runExplainCmd(cmd, o, args[0]) },
	}
	o.addFlags(cmd)
	cmd.Flags().StringVar(&o.origin, "from", "", "region or IP number of the caller")
	return withArgs(cmd, cobra.ExactArgs(1))
}

func runExplainCmd(cmd *cobra.Command, o *explainOptions, name string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	explanation, err := client.ExplainLookup(ctx, name, o.origin)
	if err != nil {
		return err
	}
	if o.outputFormat == outputJSON {
		return printJSON(cmd, explanation)
	}
	return printTable(cmd, func(w io.Writer) { printJSONTree(w, explanation, 0) })
}

// printJSONTree writes JSON as indented lines of names and values, in the order
// of the input.
func printJSONTree(w io.Writer, data json.RawMessage, depth int) {
	indent := strings.Repeat("  ", depth)
	decoder := json.NewDecoder(bytes.NewReader(data))
	// Numbers stay as they are written, because float64 rounds large integers such
	// as the number of an address block.
	decoder.UseNumber()
	firstToken, err := decoder.Token()
	if err != nil {
		return
	}
	isObject := firstToken == json.Delim('{')
	if !isObject && firstToken != json.Delim('[') {
		printf(w, "%s%v\n", indent, firstToken)
		return
	}
	for decoder.More() {
		label := "-"
		if isObject {
			key, err := decoder.Token()
			if err != nil {
				return
			}
			label = fmt.Sprint(key)
		}
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return
		}
		if strings.IndexByte("{[", value[0]) >= 0 {
			printf(w, "%s%s\n", indent, label)
			printJSONTree(w, value, depth+1)
			continue
		}
		text := string(value)
		if value[0] == '"' {
			_ = json.Unmarshal(value, &text) // The decoder has checked that it is valid JSON.
		}
		printf(w, "%s%s\t%s\n", indent, label, text)
	}
}
