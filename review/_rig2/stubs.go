package main
func playSites(r *rig) []string { return nil }
func playLiterals(r *rig) []string { return nil }
func playDrain(r *rig) []string { return nil }
