package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"gannetspur/internal/admin"
	"gannetspur/internal/config"
	"gannetspur/internal/site/forwarding"
)

// siteFlags select the gateway to call.
type siteFlags struct {
	adminFlags
	Sites string `placeholder:"FILE" help:"Sites file that the gateway was started with; its admin socket is used unless --admin or --upgrade is given."`
}

// request sends a request to the gateway and returns the overview of sites in its reply.
func (f *siteFlags) request(r admin.Request) (o forwarding.Overview, err error) {
	if f.Admin == "" && f.Upgrade == "" && f.Sites != "" {
		s, err := config.LoadSites(f.Sites)
		if err != nil {
			return o, err
		}
		f.Admin = s.Admin
	}
	last, err := f.call(r, func(admin.Reply) {})
	switch {
	case err != nil:
		return o, err
	case last.Problem != "":
		return o, fmt.Errorf("%s", last.Problem)
	}
	return o, json.Unmarshal(last.Sites, &o)
}

type siteCommand struct {
	Status  siteStatusCommand  `cmd:"" help:"Show the status of this site and its peers as one gateway sees them." name:"status"`
	Drain   siteDrainCommand   `cmd:"" help:"Stop sending new requests to a site or, if none is given, stop accepting new requests from other sites." name:"drain"`
	Undrain siteUndrainCommand `cmd:"" help:"Undo a drain." name:"undrain"`
}

type siteStatusCommand struct {
	siteFlags
	JSON bool `help:"Print the full output as JSON." name:"json"`
}

func (c *siteStatusCommand) Run() error {
	o, err := c.request(admin.Request{Command: admin.CommandSiteStatus})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(o)
	}
	printSites(o)
	return nil
}

// printSites prints the state of this site, a table of its peers and the latest events. A star marks a peer that an operator
// has drained at this gateway.
func printSites(o forwarding.Overview) {
	accepts := "accepts requests from other sites"
	if o.Draining {
		accepts = "accepts no new requests from other sites"
	}
	fmt.Printf("%s  %.1f cores, %s; free capacity: %s\n\n", o.Name, o.Cores, accepts, formatCapacity(o.FreeCapacity))
	fmt.Printf("%-24s %-9s %8s %8s %6s %6s %8s  %s\n", "peer", "state", "rtt ms", "heard ms", "out", "in", "credit s", "free capacity")
	for _, p := range o.Peers {
		state := p.State
		if p.Drained {
			state += "*"
		}
		fmt.Printf("%-24s %-9s %8.1f %8.0f %6d %6d %8.2f  %s\n", p.Peer, state, p.RTTMS, p.HeardMS, p.Forwarded, p.Served, p.Credit, formatCapacity(p.FreeCapacity))
	}
	for _, e := range o.Log {
		fmt.Println(e)
	}
}

// formatCapacity lists the free capacity of each class, sorted by name.
func formatCapacity(capacity map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(capacity)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", name, capacity[name]))
	}
	return strings.Join(parts, ", ")
}

type siteDrainCommand struct {
	siteFlags
	Site string `arg:"" optional:"" help:"Site, or one gateway as SITE/GATEWAY; defaults to this site." name:"site"`
}

func (c *siteDrainCommand) Run() error { return drain(&c.siteFlags, admin.CommandSiteDrain, c.Site) }

type siteUndrainCommand struct {
	siteFlags
	Site string `arg:"" optional:"" help:"Site, or one gateway as SITE/GATEWAY; defaults to this site." name:"site"`
}

func (c *siteUndrainCommand) Run() error {
	return drain(&c.siteFlags, admin.CommandSiteUndrain, c.Site)
}

// drain sends a drain or undrain command and prints the resulting state.
func drain(f *siteFlags, command, site string) error {
	o, err := f.request(admin.Request{Command: command, Site: site})
	if err == nil {
		printSites(o)
	}
	return err
}
