// Command gateway is a front end: it accepts requests from clients, lets the policy
// module choose an engine for each, and relays the responses.
//
// Without arguments it serves the platform's protocol, configured by the file that
// $LB_CONFIG names; with --postgres it serves the PostgreSQL wire protocol, configured
// by a deploy file. SIGHUP reloads the files, SIGUSR1 prints the counters, and SIGTERM
// and SIGINT begin a graceful shutdown. Other commands check files, talk to a running
// gateway and show what is known about query shapes.
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

// cli is the command-line grammar: global flags and commands.
type cli struct {
	LogFormat string `enum:"auto,json,text" default:"auto" help:"Log format: ${enum}. auto selects text on a terminal and JSON otherwise." name:"log-format"`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"Minimum level of logged events: ${enum}." name:"log-level"`

	Serve      serveCommand      `cmd:"" default:"withargs" help:"Run the gateway. This is the default command." name:"serve"`
	Upgrade    upgradeCommand    `cmd:"" help:"Upgrade a running gateway to a new version without losing requests." name:"upgrade"`
	Status     statusCommand     `cmd:"" help:"Show the status of a running gateway." name:"status"`
	Site       siteCommand       `cmd:"" help:"Show the status of other sites; drain and undrain sites." name:"site"`
	Members    membersCommand    `cmd:"" help:"List the members of the fleet as one front end sees them." name:"members"`
	Check      checkCommand      `cmd:"" help:"Validate configuration files and print every error." name:"check"`
	Shapes     shapesCommand     `cmd:"" help:"Inspect query shapes and their estimated costs." name:"shapes"`
	Users      usersCommand      `cmd:"" help:"Create password verifiers for users of the PostgreSQL front end." name:"users"`
	Completion completionCommand `cmd:"" help:"Print a shell completion script." name:"completion"`
	Version    versionCommand    `cmd:"" help:"Print the version." name:"version"`
}

type serveCommand struct {
	Config   string `env:"LB_CONFIG" placeholder:"FILE" help:"Platform configuration file (JSON)." name:"config"`
	Postgres string `placeholder:"FILE" help:"Serve the PostgreSQL wire protocol instead of the platform's, configured by this deploy file." name:"postgres"`
	Shapes   string `placeholder:"FILE" help:"Estimate costs by query shape, configured by this file. Platform front end only: the PostgreSQL front end reads [shapes] from its deploy file." name:"shapes"`
	Upgrade  string `placeholder:"FILE" help:"Open an admin socket and allow upgrades of the running gateway, configured by this file." name:"upgrade"`
	Sites    string `placeholder:"FILE" help:"Exchange requests with gateways at other sites, configured by this file." name:"sites"`
	Fleet    string `placeholder:"FILE" help:"Join a fleet of front ends, configured by this file." name:"fleet"`
}

// Run serves until the process is told to stop. Each fault in the files is logged as an event of its own.
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
		log.Error("cannot serve", "file", fault.File, "line", fault.Line, "field", fault.Field, "error", fault.Problem)
	}
	return errReported
}

// errReported makes the program exit with status 1 when the errors themselves have been printed already.
var errReported = errors.New("errors were reported")

type versionCommand struct{}

func (versionCommand) Run() error {
	_, err := fmt.Println("ringwood " + gateway.BuildName())
	return err
}

// deprecatedFlags maps the single-dash flags of early versions, which had no commands, to their current names.
var deprecatedFlags = map[string]string{"-config": "--config", "-postgres": "--postgres"}

// replaceDeprecatedFlags returns a copy of args in which deprecated flags have their current names.
func replaceDeprecatedFlags(args []string) []string {
	result := make([]string, len(args))
	for i, arg := range args {
		if replacement, ok := deprecatedFlags[arg]; ok {
			arg = replacement
		}
		result[i] = arg
	}
	return result
}

func main() {
	var commandLine cli
	parser, err := kong.New(&commandLine, kong.Name("ringwood"), kong.UsageOnError(),
		kong.Description("A gateway between clients and query engines. Set $LB_CONFIG, --config or --postgres to select what it serves."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "ringwood:", err)
		os.Exit(1)
	}
	ctx, err := parser.Parse(replaceDeprecatedFlags(os.Args[1:]))
	parser.FatalIfErrorf(err)
	if err := ctx.Run(&commandLine, parser); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, "ringwood:", err)
		}
		os.Exit(1)
	}
}
