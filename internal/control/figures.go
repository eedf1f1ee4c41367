package control

import (
	"strconv"

	"gannetspur/internal/core"
)

// figureKind is the letter behind a figure's value.
type figureKind byte

const (
	count figureKind = 'c'
	gauge figureKind = 'g'
)

// FormatFigures writes figures as operators read them, a line each: lb.NAME:VALUE|KIND.
func FormatFigures(f core.Figures) []byte {
	var lines figureLines
	for _, class := range f.Classes {
		lines.add("calls."+class.Class+".success", class.Served, count)
		lines.add("calls."+class.Class+".busy", class.Rejected, count)
		lines.add("calls."+class.Class+".failure", class.Failed, count)
	}
	lines.add("backend_calls", f.AttemptsWritten, count)
	lines.add("inflight", int64(f.InFlight), gauge)
	lines.add("hosts_listed", int64(f.EnginesListed), gauge)
	lines.add("hosts_down", int64(f.EnginesDown), gauge)
	if f.Peers != nil {
		lines.addPeers(f.Peers)
	}
	return lines.text
}

type figureLines struct{ text []byte }

func (l *figureLines) add(name string, value int64, kind figureKind) {
	l.text = append(l.text, "lb."...)
	l.text = append(l.text, name...)
	l.text = append(l.text, ':')
	l.text = strconv.AppendInt(l.text, value, 10)
	l.text = append(l.text, '|', byte(kind), '\n')
}

func (l *figureLines) addPeers(p *core.PeerFigures) {
	l.add("peers_live", int64(p.Live), gauge)
	l.add("peers_named", int64(p.Known), gauge)
	l.add("peers_cut", int64(p.Unreachable), gauge)
	l.add("peers_gone", int64(p.Dead), gauge)
	l.add("peers_view", int64(p.ViewNumber), gauge)
	var majority int64
	if p.Majority {
		majority = 1
	}
	l.add("peers_majority", majority, gauge)
}
