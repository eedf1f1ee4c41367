package control

import (
	"strconv"

	"gannetspur/internal/core"
)

// metricType is the letter that follows the value of a metric.
type metricType byte

const (
	counter metricType = 'c' // only grows
	gauge   metricType = 'g' // goes up and down
)

// FormatStats formats statistics as the body of /metrics, one per line: lb.NAME:VALUE|TYPE.
func FormatStats(s core.Stats) []byte {
	var out metricWriter
	for _, class := range s.Classes {
		out.add("calls."+class.Class+".success", class.Served, counter)
		out.add("calls."+class.Class+".busy", class.Rejected, counter)
		out.add("calls."+class.Class+".failure", class.Failed, counter)
	}
	out.add("backend_calls", s.AttemptsWritten, counter)
	out.add("inflight", int64(s.InFlight), gauge)
	out.add("hosts_listed", int64(s.EnginesListed), gauge)
	out.add("hosts_down", int64(s.EnginesDown), gauge)
	if s.Peers != nil {
		out.addPeers(s.Peers)
	}
	return out.text
}

// metricWriter collects formatted metrics.
type metricWriter struct{ text []byte }

func (w *metricWriter) add(name string, value int64, kind metricType) {
	w.text = append(w.text, "lb."...)
	w.text = append(w.text, name...)
	w.text = append(w.text, ':')
	w.text = strconv.AppendInt(w.text, value, 10)
	w.text = append(w.text, '|', byte(kind), '\n')
}

// addPeers adds the metrics of the other front ends of the fleet.
func (w *metricWriter) addPeers(p *core.PeerStats) {
	w.add("peers_live", int64(p.Live), gauge)
	w.add("peers_named", int64(p.Known), gauge)
	w.add("peers_cut", int64(p.PartlyReachable), gauge)
	w.add("peers_gone", int64(p.Dead), gauge)
	w.add("peers_view", int64(p.ViewNumber), gauge)
	var majority int64
	if p.Majority {
		majority = 1
	}
	w.add("peers_majority", majority, gauge)
}
