package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"lemonrail/internal/configuration"
	"lemonrail/internal/configuration/client"
	"lemonrail/internal/strict"
)

// configCmd groups the commands on the settings that control machines distribute to the agents.
type configCmd struct {
	Check    configCheckCmd    `cmd:"" help:"Check that a document of settings is valid, without contacting a control machine."`
	Put      configPutCmd      `cmd:"" help:"Make a document the next revision of a scope."`
	Show     configShowCmd     `cmd:"" help:"Print a scope's document."`
	Status   configStatusCmd   `cmd:"" help:"Report whether a revision is in force at all agents, and which agents are behind and why."`
	History  configHistoryCmd  `cmd:"" help:"Print the recorded revisions of a scope, the latest first."`
	Machines configMachinesCmd `cmd:"" help:"Print the state of each control machine in its groups."`
}

// controlFlags are the flags of commands that call control machines.
type controlFlags struct {
	Machines []string `name:"machine" short:"m" required:"" env:"LEMONRAIL_CONTROL" placeholder:"HOST:PORT" help:"HTTP address of a control machine; may be repeated, the machines are then tried in order."`
	JSON     bool     `name:"json" help:"Print JSON."`
}

// Validate returns an error if an address is not of the form HOST:PORT. Kong calls it after parsing.
func (f *controlFlags) Validate() error {
	for _, address := range f.Machines {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("--machine %s: %w", address, err)
		}
	}
	return nil
}

// configCheckCmd validates a document locally.
type configCheckCmd struct {
	File string `arg:"" help:"Document as TOML."`
	JSON bool   `name:"json" help:"Print the document as JSON."`
}

// Run parses the document and prints its size and digest, or its canonical JSON.
func (c *configCheckCmd) Run(s streams) error {
	document, err := readDocument(c.File)
	if err != nil {
		return err
	}
	canonical := document.Canonical()
	if c.JSON {
		_, err = fmt.Fprintf(s.out, "%s\n", canonical)
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s makes sense: %d bytes of %d, digest %s\n", c.File, len(canonical), configuration.MaxDocumentBytes,
		configuration.Digest(canonical))
	return err
}

// configPutCmd writes a document as the next revision of a scope.
type configPutCmd struct {
	controlFlags
	Scope   configuration.Scope `arg:"" help:"fleet, region/NAME, zone/REGION/NAME, service/NAME or agent/REGION/NAME."`
	File    string              `arg:"" help:"Document as TOML."`
	Base    *uint64             `placeholder:"N" help:"Revision that the change is based on; the change is refused as a conflict if another one is current. Default: the current revision."`
	Why     string              `required:"" help:"Reason for the change, recorded in the history."`
	By      string              `env:"USER" default:"unknown" help:"Author of the change."`
	Timeout time.Duration       `default:"20s" help:"Time limit for the change, including retries while its outcome is unknown."`
}

// Run proposes the change and prints the accepted revision. Retries carry the same change ID.
func (c *configPutCmd) Run(ctx context.Context, s streams) error {
	document, err := readDocument(c.File)
	if err != nil {
		return err
	}
	machines, err := client.New(c.Machines...)
	if err != nil {
		return err
	}
	defer machines.Close()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	base, err := c.baseRevision(ctx, machines)
	if err != nil {
		return err
	}
	accepted, err := machines.Put(ctx, configuration.Change{
		ID:       client.NewChangeID(),
		Scope:    c.Scope,
		Base:     base,
		Document: document.Canonical(),
		Author:   c.By,
		Reason:   c.Why,
	})
	if err != nil {
		return fmt.Errorf("%s: %w", c.Scope, withConflictHint(err))
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(accepted)
	}
	_, err = fmt.Fprintf(s.out, "%s is at revision %d (epoch %d), digest %s\n", accepted.Scope, accepted.Revision, accepted.Epoch, accepted.Digest)
	return err
}

// baseRevision returns the revision that the change is based on: --base, or else the current revision of the scope,
// which is 0 if the scope has no document yet.
func (c *configPutCmd) baseRevision(ctx context.Context, machines *client.Client) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	revision, err := machines.Show(ctx, c.Scope)
	var body *configuration.ErrorBody
	if errors.As(err, &body) && body.Kind == configuration.ErrorMissing {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("%s: cannot determine the current revision, nothing was written: %w", c.Scope, err)
	}
	return revision.Revision, nil
}

// withConflictHint adds to a conflict the current revision and the next step; it returns other errors unchanged.
func withConflictHint(err error) error {
	var body *configuration.ErrorBody
	if errors.As(err, &body) && body.Kind == configuration.ErrorConflict {
		return fmt.Errorf("%w (the scope is at revision %d: review it with show, then put again)", err, body.Revision)
	}
	return err
}

// configShowCmd prints the document of a scope.
type configShowCmd struct {
	controlFlags
	Scope   configuration.Scope `arg:"" help:"As for put."`
	Applied bool                `help:"Print the revision that the machine has applied, without confirmation by a majority; it may be out of date."`
}

// Run prints the current revision, or with --applied the one that the machine has applied.
func (c *configShowCmd) Run(ctx context.Context, s streams) error {
	machines, err := client.New(c.Machines...)
	if err != nil {
		return err
	}
	defer machines.Close()
	fetch := machines.Show
	if c.Applied {
		fetch = machines.ShowApplied
	}
	revision, err := fetch(ctx, c.Scope)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(revision)
	}
	return printRevision(s.out, revision)
}

// printRevision prints a comment line with the revision's author, time and reason, then the document as TOML.
func printRevision(w io.Writer, revision configuration.Revision) error {
	var document map[string]any
	if err := json.Unmarshal(revision.Document, &document); err != nil {
		return fmt.Errorf("%s: document: %w", revision.Scope, err)
	}
	text, err := toml.Marshal(floatsToIntegers(document))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "# %s revision %d (epoch %d), by %s at %s: %s\n%s", revision.Scope, revision.Revision, revision.Epoch, revision.Author,
		revision.At, singleLine(revision.Reason), text)
	return err
}

// floatsToIntegers converts the whole numbers within a decoded JSON value to integers, so that TOML shows 3 and not
// 3.0. It changes maps in place.
func floatsToIntegers(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			v[key] = floatsToIntegers(inner)
		}
	case float64:
		if whole := int64(v); float64(whole) == v {
			return whole
		}
	}
	return value
}

// singleLine replaces each run of white space by one space, so that a text fits in a comment or a table cell.
func singleLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// configStatusCmd reports at which agents of a scope a revision is in force.
type configStatusCmd struct {
	controlFlags
	Scope    configuration.Scope `arg:"" help:"As for put."`
	Revision uint64              `placeholder:"N" help:"Default: the latest."`
	Wait     bool                `help:"Wait until the revision is in force at all agents."`
	Timeout  time.Duration       `default:"30s" help:"Time limit of --wait."`
}

// errNotInForce is returned by the status command while some agent has not applied the revision.
var errNotInForce = errors.New("not in force everywhere")

// Run prints the status, and returns errNotInForce unless the revision is in force at all agents.
func (c *configStatusCmd) Run(ctx context.Context, s streams) error {
	machines, err := client.New(c.Machines...)
	if err != nil {
		return err
	}
	defer machines.Close()
	status, err := c.fetchStatus(ctx, machines)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(s.out).Encode(status)
	} else {
		err = printStatus(s.out, status)
	}
	if err == nil && !status.Everywhere {
		err = errNotInForce
	}
	return err
}

// fetchStatus returns the status of the revision; with --wait, once it is in force at all agents or the time
// is over.
func (c *configStatusCmd) fetchStatus(ctx context.Context, machines *client.Client) (configuration.Status, error) {
	if !c.Wait {
		return machines.Status(ctx, c.Scope, c.Revision)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return machines.Wait(ctx, c.Scope, c.Revision)
}

// printStatus prints the number of agents at which the revision is in force and a table of those that are
// behind.
func printStatus(w io.Writer, status configuration.Status) error {
	fmt.Fprintf(w, "%s revision %d: in force at %d of %d agents\n", status.Scope, status.Revision, status.InForce, status.Agents)
	if status.Agents == 0 {
		fmt.Fprintln(w, "no agent of the scope is known")
	}
	if len(status.Unreachable) > 0 {
		fmt.Fprintf(w, "no answer from %s: their agents may be missing\n", strings.Join(status.Unreachable, ", "))
	}
	if len(status.Behind) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "behind\tregion\tzone\tservice\thas\twhy")
	for _, agent := range status.Behind {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", agent.Agent, agent.Region, agent.Zone, agent.Service, agent.Revision, singleLine(agent.Reason))
	}
	return table.Flush()
}

// configHistoryCmd prints the revisions of a scope that a control machine has recorded.
type configHistoryCmd struct {
	controlFlags
	Scope configuration.Scope `arg:"" help:"As for put."`
}

// Run prints one line for each revision, the latest first.
func (c *configHistoryCmd) Run(ctx context.Context, s streams) error {
	machines, err := client.New(c.Machines...)
	if err != nil {
		return err
	}
	defer machines.Close()
	revisions, err := machines.History(ctx, c.Scope)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(revisions)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "revision\tepoch\tat\tby\tdigest\twhy")
	for _, revision := range revisions {
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t%s\n", revision.Revision, revision.Epoch, revision.At, revision.Author, revision.Digest, singleLine(revision.Reason))
	}
	return table.Flush()
}

// configMachinesCmd prints the state of each control machine.
type configMachinesCmd struct {
	controlFlags
}

// machineResult is the status of a control machine, or the error of the call for it.
type machineResult struct {
	Address string                       `json:"address"`
	Status  *configuration.MachineStatus `json:"status,omitempty"`
	Error   string                       `json:"error,omitempty"`
}

// Run calls each machine and prints its status; it returns an error if any machine failed to answer.
func (c *configMachinesCmd) Run(ctx context.Context, s streams) error {
	var results []machineResult
	unanswered := 0
	for _, address := range c.Machines {
		result := fetchMachineStatus(ctx, address)
		if result.Status == nil {
			unanswered++
		}
		results = append(results, result)
	}
	var err error
	if c.JSON {
		err = json.NewEncoder(s.out).Encode(results)
	} else {
		err = printMachines(s.out, results)
	}
	if err == nil && unanswered > 0 {
		err = fmt.Errorf("%d of %d control machines did not answer", unanswered, len(results))
	}
	return err
}

// fetchMachineStatus asks the control machine at an address for its status.
func fetchMachineStatus(ctx context.Context, address string) machineResult {
	machine, err := client.New(address)
	if err != nil {
		return machineResult{Address: address, Error: err.Error()}
	}
	defer machine.Close()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, err := machine.Machine(ctx)
	if err != nil {
		return machineResult{Address: address, Error: err.Error()}
	}
	return machineResult{Address: address, Status: &status}
}

// printMachines prints a table with a row for each machine and group.
func printMachines(w io.Writer, results []machineResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "machine\tregion\twatches\tgroup\tvotes\tleader\tterm\tapplied\tscopes\twhy not")
	for _, result := range results {
		if result.Status == nil {
			fmt.Fprintf(table, "%s\t\t\t\t\t\t\t\t\t%s\n", result.Address, result.Error)
			continue
		}
		m := result.Status
		for _, g := range m.Groups {
			leader := g.Leader
			if leader == "" {
				leader = "none known"
			}
			why := ""
			if !g.Voting {
				why = singleLine(g.Reason)
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%t\t%s\t%d\t%d\t%d\t%s\n", m.Name, m.Region, m.Watches, g.Group, g.Voting, leader, g.Term, g.Applied,
				len(g.Scopes), why)
		}
	}
	return table.Flush()
}

// readDocument reads a document from a TOML file. Errors name the file and, where known, the line and the field.
func readDocument(file string) (*configuration.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parseDocument(file, raw)
}

// parseDocument parses a document in TOML. The keys are those of the JSON form; format may be omitted. Errors name
// file as the source.
func parseDocument(file string, raw []byte) (*configuration.Document, error) {
	fields := map[string]any{}
	if err := strict.Decode(file, raw, &fields); err != nil {
		return nil, err
	}
	if _, given := fields["format"]; !given {
		fields["format"] = configuration.Format
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	document, err := configuration.ParseDocument(text)
	if err != nil {
		if line := errorLine(keyLines(raw), err.Error()); line > 0 {
			return nil, fmt.Errorf("%s: line %d: %w", file, line, err)
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return document, nil
}

// errorLine returns the line of the longest key of lines that occurs in an error's text, or 0 if none does.
func errorLine(lines map[string]int, text string) int {
	longest, line := "", 0
	for path, at := range lines {
		if len(path) > len(longest) && strings.Contains(text, path) {
			longest, line = path, at
		}
	}
	return line
}

// keyLines returns the line number of each key and table in a TOML text, by dotted path.
func keyLines(raw []byte) map[string]int {
	lines := map[string]int{}
	var parser unstable.Parser
	parser.Reset(raw)
	var table []string
	for parser.NextExpression() {
		expression := parser.Expression()
		keys, line := keyPath(&parser, expression)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = keys
		case unstable.KeyValue:
			keys = append(append([]string{}, table...), keys...)
		default:
			continue
		}
		lines[strings.Join(keys, ".")] = line
	}
	return lines
}

// keyPath returns the parts of the dotted key of a key-value pair or table header, and the line of the first
// part.
func keyPath(parser *unstable.Parser, expression *unstable.Node) (keys []string, line int) {
	for key := expression.Key(); key.Next(); {
		if line == 0 {
			line = parser.Shape(key.Node().Raw).Start.Line
		}
		keys = append(keys, string(key.Node().Data))
	}
	return keys, line
}
