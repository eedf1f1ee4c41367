package simulation

import "time"

// Scenario is a sequence of events at two or more sites. Most begin after a third of the span and
// end after two thirds.
type Scenario struct {
	Name, What string
	Events     func(span time.Duration, sites int) []Event
}

// Scenarios lists the scenarios by which the ways of cooperation are compared.
var Scenarios = []Scenario{
	{"steady", "nothing happens", func(time.Duration, int) []Event { return nil }},
	{"site-loss", "all engines of the first site die, and come back cold", func(span time.Duration, _ int) []Event {
		return []Event{{At: span / 3, Do: Lose, Part: 1}, {At: span * 2 / 3, Do: Return}}
	}},
	{"half-loss", "half of the engines of the first site die, and come back cold", func(span time.Duration, _ int) []Event {
		return []Event{{At: span / 3, Do: Lose, Part: 0.5}, {At: span * 2 / 3, Do: Return}}
	}},
	{"overload-here", "the first site is asked for two and a half times as much", func(span time.Duration, _ int) []Event {
		return []Event{{At: span / 3, Do: Load, Part: 2.5}, {At: span * 2 / 3, Do: Load, Part: 1}}
	}},
	{"overload-all", "all sites are asked for two and a half times as much", func(span time.Duration, sites int) (all []Event) {
		for i := range sites {
			all = append(all, Event{At: span / 3, Do: Load, Site: i, Part: 2.5}, Event{At: span * 2 / 3, Do: Load, Site: i, Part: 1})
		}
		return all
	}},
	{"cold-return", "the first site is overloaded while all engines of the second start anew", func(span time.Duration, _ int) []Event {
		return []Event{{At: span / 4, Do: Load, Part: 2}, {At: span / 3, Do: Chill, Site: 1}, {At: span * 3 / 4, Do: Load, Part: 1}}
	}},
	{"flapping", "the first site is overloaded, and its links break each 3 s", func(span time.Duration, _ int) []Event {
		all := []Event{{At: span / 4, Do: Load, Part: 2}, {At: span * 3 / 4, Do: Load, Part: 1}}
		for at := span / 3; at < span*2/3; at += 3 * time.Second {
			all = append(all, Event{At: at, Do: Cut}, Event{At: at + time.Second, Do: Mend})
		}
		return all
	}},
	{"silence", "the first site is overloaded, and its links fall silent for 13 s and for 11 s", func(span time.Duration, _ int) []Event {
		return []Event{{At: span / 4, Do: Load, Part: 2}, {At: span / 3, Do: Mute}, {At: span/3 + 13*time.Second, Do: Mend},
			{At: span/3 + 20*time.Second, Do: Mute}, {At: span/3 + 31*time.Second, Do: Mend}, {At: span * 3 / 4, Do: Load, Part: 1}}
	}},
	{"one-way", "the first site is overloaded, and what comes to it does not pass for a while", func(span time.Duration, _ int) []Event {
		return []Event{{At: span / 4, Do: Load, Part: 2}, {At: span / 3, Do: OneWay}, {At: span * 2 / 3, Do: Mend}, {At: span * 3 / 4, Do: Load, Part: 1}}
	}},
	{"gateway-dies", "the first site is overloaded, and a gateway of each site dies in the middle of answers", func(span time.Duration, _ int) []Event {
		return []Event{{At: span / 4, Do: Load, Part: 2}, {At: span / 3, Do: Kill}, {At: span / 2, Do: Kill, Site: 1}, {At: span * 3 / 4, Do: Load, Part: 1}}
	}},
	{"ring", "each site in turn is overloaded, the next before the last is relieved", func(span time.Duration, sites int) (all []Event) {
		part := span / time.Duration(sites+1)
		for i := range sites {
			all = append(all, Event{At: part * time.Duration(i), Do: Load, Site: i, Part: 2.5}, Event{At: part * time.Duration(i+2), Do: Load, Site: i, Part: 1})
		}
		return all
	}},
}

// ScenarioOf returns the scenario with the name; nil: it does not exist.
func ScenarioOf(name string) *Scenario {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i]
		}
	}
	return nil
}
