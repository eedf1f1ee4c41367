// Command gateway is a front end: it takes requests of clients, has the policy
// module decide where each runs, and relays the answers.
//
// Without arguments it serves the platform's protocol as its configuration says
// ($LB_CONFIG); with --postgres, the PostgreSQL wire protocol as a deploy file says.
// HUP has the file read again, USR1 prints the counters; TERM and INT begin a planned
// stop. Other commands check files and show what is known of statements.
package main

import (
	"errors"
	"fmt"
	"os"

	"gannetspur/internal/config"
	"gannetspur/internal/gateway"
	"gannetspur/internal/logging"

	"github.com/alecthomas/kong"
)

// cli is the grammar of the command line.
type cli struct {
	LogFormat string `enum:"auto,json,text" default:"auto" help:"How events are logged: ${enum}; auto is text on a terminal, else JSON." name:"log-format"`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"From which level on events are logged: ${enum}." name:"log-level"`

	Serve      serveCommand      `cmd:"" default:"withargs" help:"Serve. This is what ringwood does without a command." name:"serve"`
	Upgrade    upgradeCommand    `cmd:"" help:"Have a new version take over from a gateway that serves, without a request lost." name:"upgrade"`
	Status     statusCommand     `cmd:"" help:"Show how a gateway that serves stands." name:"status"`
	Site       siteCommand       `cmd:"" help:"How other sites stand, and draining." name:"site"`
	Members    membersCommand    `cmd:"" help:"Show which other front ends serve, as one of them holds." name:"members"`
	Check      checkCommand      `cmd:"" help:"Read settings and deploy files and name every fault in them." name:"check"`
	Shapes     shapesCommand     `cmd:"" help:"What is known of the shapes of statements." name:"shapes"`
	Users      usersCommand      `cmd:"" help:"Users of the PostgreSQL front." name:"users"`
	Completion completionCommand `cmd:"" help:"Print a script that completes commands and flags in a shell." name:"completion"`
	Version    versionCommand    `cmd:"" help:"Print the version." name:"version"`
}

type serveCommand struct {
	Config   string `env:"LB_CONFIG" placeholder:"FILE" help:"The platform's configuration, as JSON." name:"config"`
	Postgres string `placeholder:"FILE" help:"Serve the PostgreSQL wire protocol as this deploy file says, in place of the platform's." name:"postgres"`
	Shapes   string `placeholder:"FILE" help:"Estimate by the shapes of statements as this file says; of the platform's front. The PostgreSQL front has [shapes] in its deploy file." name:"shapes"`
	Upgrade  string `placeholder:"FILE" help:"Open a socket for operators and let new versions take over, as this file says." name:"upgrade"`
	Sites    string `placeholder:"FILE" help:"Work with gateways at other sites as this file says." name:"sites"`
	Fleet    string `placeholder:"FILE" help:"Be a member among other front ends as this file says." name:"fleet"`
}

// Run serves until the process is told to stop. Each fault of the files is one event in the log.
func (c *serveCommand) Run(global *cli) error {
	log, err := logging.New(os.Stderr, logging.Options{Format: global.LogFormat, Level: global.LogLevel})
	if err != nil {
		return err
	}
	err = gateway.Run(gateway.Files{
		Config:   c.Config,
		Postgres: c.Postgres,
		Shapes:   c.Shapes,
		Upgrade:  c.Upgrade,
		Sites:    c.Sites,
		Fleet:    c.Fleet,
	}, log)
	if err == nil {
		return nil
	}
	for _, fault := range config.FaultsOf(err) {
		log.Error("cannot serve", "file", fault.File, "line", fault.Line, "field", fault.Field, "error", fault.Want)
	}
	return errReported
}

// errReported stands for faults that have been printed already.
var errReported = errors.New("reported")

type versionCommand struct{}

func (versionCommand) Run() error {
	_, err := fmt.Println("ringwood " + gateway.BuildName())
	return err
}

// deprecatedFlags maps the spellings of versions that had no commands to those of today.
var deprecatedFlags = map[string]string{"-config": "--config", "-postgres": "--postgres"}

func withoutDeprecated(args []string) []string {
	current := make([]string, len(args))
	for i, arg := range args {
		if replacement, ok := deprecatedFlags[arg]; ok {
			arg = replacement
		}
		current[i] = arg
	}
	return current
}

func main() {
	var commandLine cli
	parser, err := kong.New(&commandLine, kong.Name("ringwood"), kong.UsageOnError(),
		kong.Description("A gateway between clients and query engines. It serves as $LB_CONFIG, --config or --postgres says."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "ringwood:", err)
		os.Exit(1)
	}
	ctx, err := parser.Parse(withoutDeprecated(os.Args[1:]))
	parser.FatalIfErrorf(err)
	if err := ctx.Run(&commandLine, parser); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, "ringwood:", err)
		}
		os.Exit(1)
	}
}
