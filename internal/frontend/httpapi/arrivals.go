package httpapi

import "time"

// arrivals records when the unconsumed bytes of a connection were received, oldest first. The time
// that a client waits for a request counts from the arrival of the request's last byte.
type arrivals []arrival

// arrival is one read of a connection.
type arrival struct {
	endOffset  int64         // stream offset just past the last byte of the read
	receivedAt time.Duration // time of the core's clock
}

// maxArrivals bounds the records that are kept for a client that writes in many small pieces.
const maxArrivals = 32

// record notes that all bytes before endOffset have been received by now.
func (a *arrivals) record(endOffset int64, now time.Duration) {
	n := len(*a)
	switch {
	case n > 0 && (*a)[n-1].endOffset >= endOffset: // no new bytes
	case n == maxArrivals:
		// The new bytes count as received with the previous ones. An earlier time never extends a
		// request's deadline.
		(*a)[n-1].endOffset = endOffset
	default:
		*a = append(*a, arrival{endOffset, now})
	}
}

// consumeTo drops the records of all bytes before offset and returns when the last of these bytes
// was received.
func (a *arrivals) consumeTo(offset int64) (receivedAt time.Duration) {
	for len(*a) > 0 {
		first := (*a)[0]
		receivedAt = first.receivedAt
		if first.endOffset > offset {
			return receivedAt
		}
		*a = (*a)[1:]
		if first.endOffset == offset {
			return receivedAt
		}
	}
	return receivedAt
}
