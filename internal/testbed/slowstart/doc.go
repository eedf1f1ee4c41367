// Package slowstart runs gateway processes under load, lets engines crash and start again, and measures how much
// work reaches an engine in slow start, against the budget that the settings give it.
package slowstart
