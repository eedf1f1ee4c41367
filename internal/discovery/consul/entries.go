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

// registration is what is read of one element of the catalogue's answer.
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

func (r *registration) valid() bool {
	return r.ServiceID != "" && r.ServicePort >= 1 && r.ServicePort <= maxPort
}

// engine is the entry of the endpoint list, without its state.
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

// engineID joins a service's id with its node's name: service ids are unique on a node only.
func engineID(node, service string) string { return node + "/" + service }

// healthEntry is what is read of one element of the health API's answer.
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

func (e *healthEntry) engineID() string { return engineID(e.Node.Node, e.Service.ID) }

// state maps the checks to an engine's state: in maintenance, or where its metadata say so, it
// drains; critical means that it can't be sent to; all else is live.
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
