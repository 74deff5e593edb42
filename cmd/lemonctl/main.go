// Command lemonctl is the operators' tool of lemonrail: it reads and plays recorded load, and runs
// stand-in sites to try agents against.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type cli struct {
	Load struct {
		Inspect  inspectCmd  `cmd:"" help:"Tell what HAR files and access logs hold, and what would be played of them."`
		Play     playCmd     `cmd:"" help:"Play HAR files and access logs against agents on loopback addresses."`
		Generate generateCmd `cmd:"" help:"Write a log that is made up."`
		Rules    rulesCmd    `cmd:"" help:"Print the rules by which entries become requests, to begin a file of your own with."`
	} `cmd:"" help:"Recorded load."`
	Site struct {
		Up siteUpCmd `cmd:"" help:"Run a stand-in site and write its agents' configurations."`
	} `cmd:"" help:"Stand-in sites."`
	Limits   limitsCmd   `cmd:"" help:"Tell from agents' notes why they refused, failed and cut their limits."`
	FleetLog fleetLogCmd `cmd:"" help:"Add up the notes and logs of all agents of a fleet, by second and by backend."`
	Trial    struct {
		List trialListCmd `cmd:"" help:"Name the stand-in days."`
		Run  trialRunCmd  `cmd:"" help:"Play stand-in days against agents and tell what was refused while nodes had room."`
	} `cmd:"" help:"Stand-in days: what agents make of trouble, measured."`
	Diameter struct {
		Decode diameterDecodeCmd `cmd:"" help:"Print the messages of a capture as trees."`
		Send   diameterSendCmd   `cmd:"" help:"Send requests as many clients do, and tell what came back."`
		Serve  diameterServeCmd  `cmd:"" help:"Answer requests as a server does, with faults."`
	} `cmd:"" help:"Diameter messages, clients and servers."`
	Members struct {
		Show    membersCmd        `cmd:"" default:"withargs" help:"Ask agents which agents live, and tell who disagrees with whom."`
		Compare membersCompareCmd `cmd:"" help:"Play this membership and others in simulated time, and print what each got wrong."`
	} `cmd:"" help:"The agents' views of the fleet."`
	Cluster struct {
		Run    clusterRunCmd    `cmd:"" help:"Start many agents, do them harm by a timetable, and see whether their views become equal and true."`
		Lose   clusterLoseCmd   `cmd:"" help:"Lose a whole site under load, with and without a plan, and measure what clients get."`
		Duties clusterDutiesCmd `cmd:"" help:"Measure what duties cost a fleet that does nothing else."`
		Shrink clusterShrinkCmd `cmd:"" help:"Kill most agents of a fleet while its clients go to those left, and measure what they get."`
	} `cmd:"" help:"A rig of many agents, with faults between them."`
	Sites struct {
		Show sitesShowCmd `cmd:"" help:"Ask agents what they hold each site for, and what follows."`
		Plan sitesPlanCmd `cmd:"" help:"Work out where the load of a lost site goes and what is refused first, beside two simple ways."`
	} `cmd:"" help:"The loss of a whole site."`
	Duties struct {
		Show    dutiesShowCmd    `cmd:"" help:"Ask agents who holds which duty, and how the seats stand."`
		HandOn  dutiesHandOnCmd  `cmd:"" name:"hand-on" help:"Name who is to take a duty over; its holder gives it once that one is ready."`
		Release dutiesReleaseCmd `cmd:"" help:"Have a duty's holder let it go."`
	} `cmd:"" help:"Duties that one agent holds at a time."`
	Config configCmd `cmd:"" help:"Settings that change while the fleet runs."`
	Scale  struct {
		Processes scaleProcessesCmd `cmd:"" help:"Real agents, up to 60, with lists of several lengths."`
		Hollow    scaleHollowCmd    `cmd:"" help:"Control clients of up to 2,500 agents in this process, over loopback sockets."`
		Members   scaleMembersCmd   `cmd:"" help:"The membership's decisions alone, in simulated time: loss, regions apart."`
		Decisions scaleDecisionsCmd `cmd:"" help:"The balancing decisions alone, with lists of several lengths."`
		Calls     scaleCallsCmd     `cmd:"" help:"Calls as trees in simulated time, with failing leaves: what retries come to."`
		All       scaleAllCmd       `cmd:"" help:"All of them."`
	} `cmd:"" help:"Cost as a function of agents, backends and changes: slopes, as text, JSON or a page."`
	Overhead  overheadCmd  `cmd:"" help:"Measure agent, bare proxy and no proxy side by side on this machine."`
	BareProxy bareProxyCmd `cmd:"" hidden:"" help:"The proxy that overhead compares with."`
	Try       tryCmd       `cmd:"" help:"Start a stand-in site with agents, play a log against them, and report."`
}

// streams are what a command reads and writes.
type streams struct {
	in  io.Reader
	out io.Writer // results
	err io.Writer // progress and complaints
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr}))
}

// errBroken says that a rule was broken: the report has been printed already.
var errBroken = errors.New("a rule was broken")

// run carries out a command line: 0 done, 1 failed, 2 not understood.
func run(ctx context.Context, args []string, s streams) (code int) {
	var c cli
	exit := -1
	parser, err := kong.New(&c, kong.Name("lemonctl"), kong.Description("The operators' tool of lemonrail."), kong.UsageOnError(),
		kong.Writers(s.out, s.err), kong.Exit(func(n int) { exit = n; panic(exited{}) }))
	if err != nil {
		fmt.Fprintln(s.err, "lemonctl:", err)
		return 1
	}
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(exited); !ok {
				panic(p)
			}
			if code = exit; code != 0 {
				code = 2
			}
		}
	}()
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(s.err, "lemonctl:", err)
		return 2
	}
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(s); err != nil {
		fmt.Fprintln(s.err, "lemonctl:", err)
		return 1
	}
	return 0
}

// exited unwinds from kong's own end, as after --help.
type exited struct{}
