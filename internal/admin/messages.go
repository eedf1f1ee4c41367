// Package admin implements the Unix socket through which operators control a running gateway. A
// client sends one request as a line of JSON; the gateway replies with one or more lines of JSON,
// the last of which has done set. Access is controlled by the socket's file mode: only the owner
// may connect.
package admin

import "encoding/json"

// Values of Request.Command.
const (
	CommandStatus      = "status"       // replies with a Status
	CommandUpgrade     = "upgrade"      // replies with each phase of the upgrade
	CommandCheck       = "check"        // replies whether the program could take over; does not upgrade
	CommandSiteStatus  = "site-status"  // replies with the state of this site and its peers
	CommandSiteDrain   = "site-drain"   // sends no new requests to Request.Site; if that is empty, accepts none from other sites
	CommandSiteUndrain = "site-undrain" // undoes CommandSiteDrain
	CommandMembers     = "members"      // replies with this member's view of the fleet
)

// Request is one command of an operator.
type Request struct {
	Command string   `json:"do"`
	Site    string   `json:"site,omitempty"`    // site or SITE/GATEWAY to drain or undrain; "" means this gateway's own site
	Program string   `json:"program,omitempty"` // path of the program to upgrade to; "" means the configured one
	Args    []string `json:"args,omitempty"`    // arguments of that program; empty means those of the running process
}

// Reply is one line of a response. Fields that do not apply to the command are empty.
type Reply struct {
	Phase      string          `json:"phase,omitempty"` // phase that an upgrade has entered
	Problem    string          `json:"why,omitempty"`   // why the request failed; "" if it did not
	Build      string          `json:"build,omitempty"` // version of the program that was checked
	Status     *Status         `json:"status,omitempty"`
	Sites      json.RawMessage `json:"sites,omitempty"` // a forwarding.Overview
	Membership json.RawMessage `json:"fleet,omitempty"` // a membership.Overview
	Done       bool            `json:"done"`            // this is the last reply
}

// Status is the current state of a gateway.
type Status struct {
	PID           int              `json:"pid"`         // process id
	Build         string           `json:"build"`       // version of the program
	Frontend      string           `json:"front"`       // name of the protocol that clients speak
	Listen        string           `json:"listen"`      // address that clients connect to
	Phase         string           `json:"phase"`       // phase of the current upgrade; "off" if upgrades are disabled
	TookOver      bool             `json:"took_over"`   // the process was started by an upgrade and became the owner
	UptimeSeconds float64          `json:"up_s"`        // seconds since the process started
	Connections   int              `json:"connections"` // open connections, of clients and engines
	Unanswered    int              `json:"unanswered"`  // requests without a response yet
	Counters      map[string]int64 `json:"counters"`    // all event counters by name
}
