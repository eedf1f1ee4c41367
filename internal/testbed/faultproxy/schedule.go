package faultproxy

import "time"

// Add starts a fault now. It lasts for f.For; f.From is ignored.
func (l *Link) Add(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.From = time.Since(l.start)
	l.opts.Faults = append(l.opts.Faults, f)
	l.schedule(f, 0)
}

// schedule sets the timers that begin the fault after the given delay and end it. The caller must
// hold the lock, unless the link is not shared yet.
func (l *Link) schedule(f Fault, delay time.Duration) {
	l.timers = append(l.timers, time.AfterFunc(delay, func() { l.begin(f) }))
	if f.For > 0 {
		l.timers = append(l.timers, time.AfterFunc(delay+f.For, l.notifyChange))
	}
}

// active reports whether a fault of the kind is in effect.
func (l *Link) active(kind Kind) bool {
	at := time.Since(l.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.opts.Faults {
		if f.Kind == kind && f.activeAt(at) {
			return true
		}
	}
	return false
}

// holds reports whether a fault in effect holds back the bytes of a direction.
func (l *Link) holds(d direction) bool {
	return l.active(Silence) || d == requests && l.active(HeldRequests)
}

// begin applies the one-time effect of a fault at its start.
func (l *Link) begin(f Fault) {
	switch f.Kind {
	case Cut:
		l.forEach((*connection).close)
	case Reset:
		l.forEach((*connection).reset)
	case HalfClose:
		l.forEach(func(c *connection) { _ = c.server.CloseWrite() }) // fails only if it is closed already
	}
	l.notifyChange()
}

// notifyChange wakes the goroutines that wait for a fault to begin or end.
func (l *Link) notifyChange() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.change)
	l.change = make(chan struct{})
}

// nextChange returns a channel that is closed when the next fault begins or ends.
func (l *Link) nextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.change
}

// latency draws the time from the receipt of a chunk to its delivery.
func (l *Link) latency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	latency := l.opts.Delay
	if l.opts.Jitter > 0 {
		latency += time.Duration(l.random.Int64N(int64(l.opts.Jitter)))
	}
	if l.opts.Stall > 0 && l.random.Float64() < l.opts.Stall {
		latency += l.opts.StallFor
	}
	return latency
}

// corrupt changes one byte of a chunk.
func (l *Link) corrupt(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data[l.random.IntN(len(data))] ^= 0x55
}

// transmission returns how long it takes to transmit length bytes at the bandwidth limit.
func (l *Link) transmission(length int) time.Duration {
	if l.opts.Bandwidth <= 0 {
		return 0
	}
	return time.Duration(float64(length) / float64(l.opts.Bandwidth) * float64(time.Second))
}
