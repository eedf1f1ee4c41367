package main
func playLiterals(r *rig) []string { return nil }
func playDrain(r *rig) []string { return nil }
