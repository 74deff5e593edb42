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

type configCmd struct {
	Check    configCheckCmd    `cmd:"" help:"Read a document of settings and tell whether it makes sense. Asks nobody."`
	Put      configPutCmd      `cmd:"" help:"Make a document the next revision of a scope."`
	Show     configShowCmd     `cmd:"" help:"Print a scope's document."`
	Status   configStatusCmd   `cmd:"" help:"Tell whether a revision is in force everywhere, and who is behind and why."`
	History  configHistoryCmd  `cmd:"" help:"Print the revisions of a scope that a control machine has recorded, the latest first."`
	Machines configMachinesCmd `cmd:"" help:"Tell how each control machine stands in its groups."`
}

// controlFlags name the control machines.
type controlFlags struct {
	Machines []string `name:"machine" short:"m" required:"" env:"LEMONRAIL_CONTROL" placeholder:"HOST:PORT" help:"HTTP address of a control machine; repeated: asked one after another."`
	JSON     bool     `name:"json" help:"Print JSON."`
}

// Validate refuses what is no address.
func (f *controlFlags) Validate() error {
	for _, address := range f.Machines {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("--machine %s: %w", address, err)
		}
	}
	return nil
}

type configCheckCmd struct {
	File string `arg:"" help:"Document as TOML."`
	JSON bool   `name:"json" help:"Print the document as JSON."`
}

// Run reads a document.
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
	_, err = fmt.Fprintf(s.out, "%s makes sense: %d bytes of %d, digest %s\n", c.File, len(canonical), configuration.DocumentMost,
		configuration.Digest(canonical))
	return err
}

type configPutCmd struct {
	controlFlags
	Scope   configuration.Scope `arg:"" help:"fleet, region/NAME, zone/REGION/NAME, service/NAME or agent/REGION/NAME."`
	File    string              `arg:"" help:"Document as TOML."`
	Base    *uint64             `placeholder:"N" help:"Revision that the change is made to; another one in force is a conflict. Default: what show says."`
	Why     string              `required:"" help:"Reason, for those who read the history."`
	By      string              `env:"USER" default:"unknown" help:"Who makes the change."`
	Timeout time.Duration       `default:"20s" help:"For which an unknown outcome is asked after."`
}

// Run makes a change.
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
	base, err := c.base(ctx, machines)
	if err != nil {
		return err
	}
	accepted, err := machines.Put(ctx, configuration.Change{
		ID:       client.NewChangeID(),
		Scope:    c.Scope,
		Base:     base,
		Document: document.Canonical(),
		By:       c.By,
		Why:      c.Why,
	})
	if err != nil {
		return fmt.Errorf("%s: %w", c.Scope, explained(err))
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(accepted)
	}
	_, err = fmt.Fprintf(s.out, "%s is at revision %d (epoch %d), digest %s\n", accepted.Scope, accepted.Revision, accepted.Epoch, accepted.Digest)
	return err
}

// base is the revision that the change is made to.
func (c *configPutCmd) base(ctx context.Context, machines *client.Client) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	revision, err := machines.Show(ctx, c.Scope)
	var body *configuration.ErrorBody
	if errors.As(err, &body) && body.Kind == configuration.ErrorMissing {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("%s: the revision to change isn't known, nothing was written: %w", c.Scope, err)
	}
	return revision.Revision, nil
}

// explained adds to a refusal what to do about it.
func explained(err error) error {
	var body *configuration.ErrorBody
	if errors.As(err, &body) && body.Kind == configuration.ErrorConflict {
		return fmt.Errorf("%w (it is at revision %d: look at it with show, and put again)", err, body.Revision)
	}
	return err
}

type configShowCmd struct {
	controlFlags
	Scope   configuration.Scope `arg:"" help:"As for put."`
	Applied bool                `help:"What the machine has applied, without asking a majority: it may not be the latest."`
}

// Run prints a revision.
func (c *configShowCmd) Run(ctx context.Context, s streams) error {
	machines, err := client.New(c.Machines...)
	if err != nil {
		return err
	}
	defer machines.Close()
	ask := machines.Show
	if c.Applied {
		ask = machines.ShowApplied
	}
	revision, err := ask(ctx, c.Scope)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(revision)
	}
	return printRevision(s.out, revision)
}

// printRevision prints a document as TOML, below who made it.
func printRevision(w io.Writer, revision configuration.Revision) error {
	var document map[string]any
	if err := json.Unmarshal(revision.Document, &document); err != nil {
		return fmt.Errorf("%s: document: %w", revision.Scope, err)
	}
	text, err := toml.Marshal(wholeNumbers(document))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "# %s revision %d (epoch %d), by %s at %s: %s\n%s", revision.Scope, revision.Revision, revision.Epoch, revision.By,
		revision.At, oneLine(revision.Why), text)
	return err
}

// wholeNumbers makes integers of the numbers that are whole, as people write them.
func wholeNumbers(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			v[key] = wholeNumbers(inner)
		}
	case float64:
		if whole := int64(v); float64(whole) == v {
			return whole
		}
	}
	return value
}

// oneLine keeps a text within a comment.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

type configStatusCmd struct {
	controlFlags
	Scope    configuration.Scope `arg:"" help:"As for put."`
	Revision uint64              `placeholder:"N" help:"Default: the latest."`
	Wait     bool                `help:"Ask until it is in force everywhere."`
	Timeout  time.Duration       `default:"30s" help:"For which --wait asks."`
}

// errNotInForce is the status command's answer that isn't yes.
var errNotInForce = errors.New("not in force everywhere")

// Run asks for a status; an answer that it isn't in force everywhere is an error.
func (c *configStatusCmd) Run(ctx context.Context, s streams) error {
	machines, err := client.New(c.Machines...)
	if err != nil {
		return err
	}
	defer machines.Close()
	status, err := c.ask(ctx, machines)
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

func (c *configStatusCmd) ask(ctx context.Context, machines *client.Client) (configuration.Status, error) {
	if !c.Wait {
		return machines.Status(ctx, c.Scope, c.Revision)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return machines.Wait(ctx, c.Scope, c.Revision)
}

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
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", agent.Agent, agent.Region, agent.Zone, agent.Service, agent.Revision, oneLine(agent.Why))
	}
	return table.Flush()
}

type configHistoryCmd struct {
	controlFlags
	Scope configuration.Scope `arg:"" help:"As for put."`
}

// Run prints the revisions of a scope.
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
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t%s\n", revision.Revision, revision.Epoch, revision.At, revision.By, revision.Digest, oneLine(revision.Why))
	}
	return table.Flush()
}

type configMachinesCmd struct {
	controlFlags
}

// machineAnswer is what a control machine says of itself, or why it doesn't.
type machineAnswer struct {
	Address string                       `json:"address"`
	Status  *configuration.MachineStatus `json:"status,omitempty"`
	Error   string                       `json:"error,omitempty"`
}

// Run asks each machine how it stands.
func (c *configMachinesCmd) Run(ctx context.Context, s streams) error {
	var answers []machineAnswer
	silent := 0
	for _, address := range c.Machines {
		answer := askMachine(ctx, address)
		if answer.Status == nil {
			silent++
		}
		answers = append(answers, answer)
	}
	var err error
	if c.JSON {
		err = json.NewEncoder(s.out).Encode(answers)
	} else {
		err = printMachines(s.out, answers)
	}
	if err == nil && silent > 0 {
		err = fmt.Errorf("%d of %d control machines didn't answer", silent, len(answers))
	}
	return err
}

func askMachine(ctx context.Context, address string) machineAnswer {
	machine, err := client.New(address)
	if err != nil {
		return machineAnswer{Address: address, Error: err.Error()}
	}
	defer machine.Close()
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	status, err := machine.Machine(ctx)
	if err != nil {
		return machineAnswer{Address: address, Error: err.Error()}
	}
	return machineAnswer{Address: address, Status: &status}
}

func printMachines(w io.Writer, answers []machineAnswer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "machine\tregion\twatches\tgroup\tvotes\tleader\tterm\tapplied\tscopes\twhy not")
	for _, answer := range answers {
		if answer.Status == nil {
			fmt.Fprintf(table, "%s\t\t\t\t\t\t\t\t\t%s\n", answer.Address, answer.Error)
			continue
		}
		m := answer.Status
		for _, g := range m.Groups {
			leader := g.Leader
			if leader == "" {
				leader = "none known"
			}
			why := ""
			if !g.Votes {
				why = oneLine(g.Why)
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%t\t%s\t%d\t%d\t%d\t%s\n", m.Name, m.Region, m.Watches, g.Group, g.Votes, leader, g.Term, g.Applied,
				len(g.Scopes), why)
		}
	}
	return table.Flush()
}

// readDocument reads a document from a TOML file. Errors name the file, the line and the field.
func readDocument(file string) (*configuration.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parseDocument(file, raw)
}

// parseDocument reads a document's TOML text; errors call it file. The keys are those of the JSON form; format may be
// left out.
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
		if line := lineOf(keyLines(raw), err.Error()); line > 0 {
			return nil, fmt.Errorf("%s: line %d: %w", file, line, err)
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return document, nil
}

// lineOf is the line of the longest key that an error's text names; 0: none.
func lineOf(lines map[string]int, text string) int {
	longest, line := "", 0
	for path, at := range lines {
		if len(path) > len(longest) && strings.Contains(text, path) {
			longest, line = path, at
		}
	}
	return line
}

// keyLines are the lines on which the keys and tables of a TOML text stand, by their dotted path.
func keyLines(raw []byte) map[string]int {
	lines := map[string]int{}
	var parser unstable.Parser
	parser.Reset(raw)
	var table []string
	for parser.NextExpression() {
		expression := parser.Expression()
		keys, line := keysOf(&parser, expression)
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

// keysOf are the parts of an expression's key, and its line.
func keysOf(parser *unstable.Parser, expression *unstable.Node) (keys []string, line int) {
	for key := expression.Key(); key.Next(); {
		if line == 0 {
			line = parser.Shape(key.Node().Raw).Start.Line
		}
		keys = append(keys, string(key.Node().Data))
	}
	return keys, line
}
