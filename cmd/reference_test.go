package cmd

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"savorystep"
	"savorystep/operator"
)

const referencePage = "../docs/reference.md"

// TestReference guards against a reference page that differs from the commands,
// flags, settings, error kinds and exit codes of the program. With -rewrite it
// updates the page.
func TestReference(t *testing.T) {
	t.Setenv("USER", "")
	t.Setenv(envServers, "")
	t.Setenv(envTokenFile, "")
	data, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for sectionName, section := range map[string]string{
		"changeflags": flagTable(newCorrectCmd(), newListCmd()),
		"clientflags": flagTable(newListCmd(), nil),
		"commands":    commandReference(newRootCmd().Commands(), ""),
		"errors":      errorTable(),
		"exitcodes":   exitCodeTable(),
		"settings":    settingsTable(),
	} {
		begin, end := "<!-- begin "+sectionName+" -->\n", "<!-- end "+sectionName+" -->\n"
		before, rest, hasBegin := strings.Cut(page, begin)
		_, after, hasEnd := strings.Cut(rest, end)
		if !hasBegin || !hasEnd {
			t.Fatalf("%s has no section %s", referencePage, sectionName)
		}
		page = before + begin + section + end + after
	}
	if page == string(data) {
		return
	}
	if f := flag.Lookup("rewrite"); f != nil && f.Value.String() == "true" {
		if err := os.WriteFile(referencePage, []byte(page), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	t.Error("docs/reference.md is not current; run: go test ./cmd -run TestReference -rewrite")
}

// TestReferenceRecords guards against examples of records on the reference page that
// do not parse or differ from the output of get.
func TestReferenceRecords(t *testing.T) {
	data, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	schemas := map[int]bool{}
	for _, match := range regexp.MustCompile("(?s)```ini\n(.*?)```").FindAllStringSubmatch(string(data), -1) {
		record, err := operator.ParseRecord("reference.md", []byte(match[1]))
		if err != nil {
			t.Fatal(err)
		}
		schemas[record.Schema] = true
		formatted, err := operator.FormatRecord(record, record.Schema)
		if err != nil || string(formatted) != match[1] {
			t.Errorf("the example differs from its formatted form: error %v, formatted:\n%s", err, formatted)
		}
	}
	if !schemas[1] || !schemas[2] {
		t.Errorf("the page has examples of schemas %v, want 1 and 2", schemas)
	}
}

// flagTable returns a Markdown table of the flags of cmd that the command excluded
// does not have. It returns an empty text if there are none; excluded may be nil.
func flagTable(cmd, excluded *cobra.Command) string {
	var b strings.Builder
	cmd.Flags().VisitAll(func(f *pflag.Flag) {
		if f.Name == "help" || excluded != nil && excluded.Flags().Lookup(f.Name) != nil {
			return
		}
		name := "--" + f.Name
		if f.Shorthand != "" {
			name = "-" + f.Shorthand + ", " + name
		}
		defaultValue := f.DefValue
		if defaultValue != "" && defaultValue != "[]" {
			defaultValue = "`" + strings.Trim(defaultValue, "[]") + "`"
		} else {
			defaultValue = ""
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", name, defaultValue, cell(f.Usage))
	})
	if b.Len() == 0 {
		return ""
	}
	return "| flag | default | meaning |\n|---|---|---|\n" + b.String()
}

// commandReference returns the Markdown sections of commands and their subcommands.
// Flags that several commands share are omitted, since they have a table of their
// own.
func commandReference(cmds []*cobra.Command, parent string) string {
	var b strings.Builder
	for _, cmd := range cmds {
		if cmd.Name() == "help" || cmd.Name() == "completion" || cmd.Hidden {
			continue
		}
		if cmd.HasSubCommands() {
			b.WriteString(commandReference(cmd.Commands(), parent+cmd.Name()+" "))
			continue
		}
		text := cmd.Long
		if text == "" {
			text = cmd.Short + "."
		}
		text, _, _ = strings.Cut(text, "\n\nExit codes:")
		fmt.Fprintf(&b, "### savorystep %s%s\n\n%s\n\n", parent, cmd.Use, text)
		if cmd.HasExample() {
			fmt.Fprintf(&b, "```sh\n%s\n```\n\n", dedent(cmd.Example))
		}
		var excluded *cobra.Command
		switch {
		case cmd.Flags().Lookup("dry-run") != nil:
			excluded = newCorrectCmd()
		case cmd.Flags().Lookup("token-file") != nil:
			excluded = newListCmd()
		}
		if table := flagTable(cmd, excluded); table != "" {
			b.WriteString(table + "\n")
		}
	}
	return b.String()
}

func dedent(text string) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	for i := range lines {
		lines[i] = strings.TrimPrefix(lines[i], "  ")
	}
	return strings.Join(lines, "\n")
}

func exitCodeTable() string {
	var b strings.Builder
	b.WriteString("| code | meaning |\n|---|---|\n")
	for _, e := range exitCodes {
		fmt.Fprintf(&b, "| %d | %s |\n", e.code, e.meaning)
	}
	return b.String()
}

func settingsTable() string {
	var b strings.Builder
	b.WriteString("| section | key | type | unit | default | allowed | meaning |\n|---|---|---|---|---|---|---|\n")
	for _, key := range operator.SettingsKeys() {
		defaultValue := key.Default
		if key.Required {
			defaultValue = "required"
		}
		fmt.Fprintf(&b, "| `[%s]` | `%s` | %s | %s | %s | %s | %s |\n", key.Section, key.Key, key.Type, key.Unit, defaultValue, cell(key.Allowed), cell(key.Description))
	}
	return b.String()
}

func errorTable() string {
	var b strings.Builder
	b.WriteString("| kind | status | ran | same request may be sent again | after |\n|---|---|---|---|---|\n")
	for kind := savorystep.KindNone + 1; kind.Info().Name != "Internal" || kind == savorystep.KindInternal; kind++ {
		info := kind.Info()
		retryable, delay := "no", ""
		if info.Retryable {
			retryable, delay = "yes", info.RetryDelay.String()
		}
		fmt.Fprintf(&b, "| `%s` | %d %s | %s | %s | %s |\n", info.Name, info.Status, http.StatusText(info.Status), info.Execution, retryable, delay)
	}
	return b.String()
}

// cell escapes a text for a cell of a Markdown table.
func cell(text string) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "|", "\\|"), "\n", " ")
}
