package cmd

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// Environment variables with the defaults of --server and --token-file.
const (
	envServers   = "SAVORYSTEP_SERVER"
	envTokenFile = "SAVORYSTEP_TOKENFILE"
)

// The allowed values of --output.
const (
	outputJSON  = "json"
	outputTable = "table"
)

// maxAttemptTimeout bounds one attempt at one server, so that an unresponsive
// server leaves time to try the next one.
const maxAttemptTimeout = 5 * time.Second

// clientFlags are the flags of all commands that send requests to an operators'
// listener.
type clientFlags struct {
	servers      []string
	token        string
	tokenFile    string
	certFile     string
	keyFile      string
	caFile       string
	outputFormat string
	timeout      time.Duration
}

// addFlags adds the flags to a command.
func (f *clientFlags) addFlags(cmd *cobra.Command) {
	servers := splitServers(os.Getenv(envServers))
	if len(servers) == 0 {
		servers = []string{"127.0.0.1:7003"}
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.servers, "server", servers, "operators' address of an instance; repeat it to name further ones to try (env "+envServers+")")
	flags.StringVar(&f.token, "token", "", "bearer token")
	flags.StringVar(&f.tokenFile, "token-file", os.Getenv(envTokenFile), "file that holds the bearer token (env "+envTokenFile+")")
	flags.StringVar(&f.certFile, "cert", "", "PEM file of the client certificate, for mutual TLS")
	flags.StringVar(&f.keyFile, "key", "", "PEM file of the certificate's private key")
	flags.StringVar(&f.caFile, "authority", "", "PEM file of the authority that signed the servers' certificates; turns on TLS")
	flags.DurationVar(&f.timeout, "timeout", 30*time.Second, "longest time that the command takes")
	addOutputFlag(cmd, &f.outputFormat)
}

func addOutputFlag(cmd *cobra.Command, outputFormat *string) {
	cmd.Flags().StringVarP(outputFormat, "output", "o", outputTable, "form of the output: table or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
}

func splitServers(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}

// newClient returns an operators' client configured by the flags.
func (f *clientFlags) newClient() (*operator.Client, error) {
	if err := checkOutputFormat(f.outputFormat); err != nil {
		return nil, err
	}
	config := operator.ClientConfig{Servers: f.servers, Token: f.token, AttemptTimeout: min(maxAttemptTimeout, f.timeout)}
	// --token takes precedence, because the default of --token-file may come from
	// the environment.
	if f.token == "" && f.tokenFile != "" {
		data, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "read token file")
		}
		config.Token = strings.TrimSpace(string(data))
	}
	if f.certFile != "" || f.keyFile != "" || f.caFile != "" {
		tls, err := operator.ClientTLSConfig(f.certFile, f.keyFile, f.caFile)
		if err != nil {
			return nil, err
		}
		config.TLS = tls
	}
	return operator.NewClient(config), nil
}

func checkOutputFormat(outputFormat string) error {
	if outputFormat != outputTable && outputFormat != outputJSON {
		return savorystep.NewError(savorystep.KindBadRequest, "output %q is unknown; allowed: table, json", outputFormat)
	}
	return nil
}

// commandContext returns the command's context with the deadline that --timeout
// sets.
func (f *clientFlags) commandContext(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), f.timeout)
}

// printJSON writes a value to the command's output as indented JSON.
func printJSON(cmd *cobra.Command, value any) error {
	encoder := json.NewEncoder(cmd.OutOrStdout())
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printResult writes a value in the format that --output selects.
func (f *clientFlags) printResult(cmd *cobra.Command, value any, writeTable func(w io.Writer)) error {
	if f.outputFormat == outputJSON {
		return printJSON(cmd, value)
	}
	return printTable(cmd, writeTable)
}

// printTable writes to the command's output what writeTable writes, with the
// tab-separated columns aligned.
func printTable(cmd *cobra.Command, writeTable func(w io.Writer)) error {
	w := tabwriter.NewWriter(&trimWriter{w: cmd.OutOrStdout()}, 0, 0, 2, ' ', 0)
	writeTable(w)
	return w.Flush()
}

// A trimWriter removes the trailing spaces of lines, which the tabwriter leaves
// after empty cells. It counts spaces and writes them only when another
// character than a newline follows.
type trimWriter struct {
	w             io.Writer
	pendingSpaces int
}

// Write implements io.Writer.
func (t *trimWriter) Write(p []byte) (int, error) {
	var out []byte
	for _, b := range p {
		if b == ' ' {
			t.pendingSpaces++
			continue
		}
		if b != '\n' {
			out = append(out, strings.Repeat(" ", t.pendingSpaces)...)
		}
		t.pendingSpaces = 0
		out = append(out, b)
	}
	if _, err := t.w.Write(out); err != nil {
		return 0, err
	}
	return len(p), nil
}

// completeService completes the argument at argIndex with the names of services,
// and other arguments with nothing.
func (f *clientFlags) completeService(argIndex int) cobra.CompletionFunc {
	return func(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		if len(args) != argIndex {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		client, err := f.newClient()
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		// The user's shell blocks until the completion returns.
		ctx, cancel := context.WithTimeout(cmd.Context(), 2*time.Second)
		defer cancel()
		records, err := client.Records(ctx)
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		names := make([]string, len(records))
		for i, record := range records {
			names[i] = string(record.Service)
		}
		return names, cobra.ShellCompDirectiveNoFileComp
	}
}
