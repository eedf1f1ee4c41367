package consul

import (
	"cmp"
	"net"
	"strconv"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/internal/discovery/endpoint"
	"gannetspur/policy"
)

const maxPort = 1<<16 - 1

// registration is one element of a catalog response, reduced to the fields that are used.
type registration struct {
	Node           string            `json:"Node"`
	Address        string            `json:"Address"`
	Datacenter     string            `json:"Datacenter"`
	NodeMeta       map[string]string `json:"NodeMeta"`
	ServiceID      string            `json:"ServiceID"`
	ServiceAddress string            `json:"ServiceAddress"`
	ServicePort    int               `json:"ServicePort"`
	ServiceMeta    map[string]string `json:"ServiceMeta"`
}

// valid reports whether the registration has a service ID and a usable port.
func (r *registration) valid() bool {
	return r.ServiceID != "" && r.ServicePort >= 1 && r.ServicePort <= maxPort
}

// engine returns the entry of the endpoint list for the registration, without its state. Zone and
// kind are taken from the service metadata, else the node metadata, else the options. A zone that is
// in none of them is the datacenter.
func (r *registration) engine(opts Options) core.Engine {
	host := cmp.Or(r.ServiceAddress, r.Address)
	e := core.Engine{
		Addr: net.JoinHostPort(host, strconv.Itoa(r.ServicePort)),
		Engine: policy.Engine{
			ID:   engineID(r.Node, r.ServiceID),
			Zone: cmp.Or(r.ServiceMeta["zone"], r.NodeMeta["zone"], opts.Zone, r.Datacenter),
			Kind: cmp.Or(r.ServiceMeta["kind"], r.NodeMeta["kind"], opts.Kind),
		},
	}
	bootMS, err := strconv.ParseInt(r.ServiceMeta["boot_ms"], 10, 64)
	if err == nil && bootMS > 0 {
		endpoint.SetBootTime(&e, uint64(bootMS))
	}
	return e
}

// engineID joins the node name and the service ID, as service IDs are unique only within a node.
func engineID(node, service string) string { return node + "/" + service }

// healthEntry is one element of a health API response, reduced to the fields that are used.
type healthEntry struct {
	Node struct {
		Node string `json:"Node"`
	} `json:"Node"`
	Service struct {
		ID   string            `json:"ID"`
		Meta map[string]string `json:"Meta"`
	} `json:"Service"`
	Checks []struct {
		CheckID string `json:"CheckID"`
		Status  string `json:"Status"`
	} `json:"Checks"`
}

// engineID returns the ID under which the engine is listed.
func (e *healthEntry) engineID() string { return engineID(e.Node.Node, e.Service.ID) }

// state derives the engine's state from its checks and metadata. An engine in maintenance is
// draining, whatever its other checks say; otherwise one with a critical check has departed; otherwise
// the metadata draining=true marks it as draining. All other engines are live.
func (e *healthEntry) state() policy.EngineState {
	state := policy.EngineLive
	if e.Service.Meta["draining"] == "true" {
		state = policy.EngineDraining
	}
	for _, check := range e.Checks {
		inMaintenance := check.CheckID == "_node_maintenance" || strings.HasPrefix(check.CheckID, "_service_maintenance")
		switch {
		case inMaintenance:
			return policy.EngineDraining
		case check.Status == "critical":
			state = policy.EngineDeparted
		}
	}
	return state
}
