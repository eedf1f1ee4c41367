package lineproto

import "testing"

// TestCommands checks the bytes of each command against the platform's line protocol.
func TestCommands(t *testing.T) {
	const id = "00000000000009b1"
	for name, c := range map[string]struct {
		got  []byte
		want string
	}{
		"request": {requestCommand{id: id, class: "interactive", timeLeftMS: 1, priority: -3, statement: "SELECT 'ä'"}.encode(),
			"want 00000000000009b1 kind=interactive,ms=1,nice=-3 11\r\nSELECT 'ä'\r\n"},
		"request with all fields": {requestCommand{id: id, class: "batch", timeLeftMS: 250, idempotencyKey: "k-1", memoryMB: 12, statement: "X"}.encode(),
			"want 00000000000009b1 kind=batch,ms=250,token=k-1,mb=12,nice=0 1\r\nX\r\n"},
		"cancel":           {appendCancelCommand(nil, id), "never_mind 00000000000009b1\r\n"},
		"cancel and page":  {appendPageCommand(appendCancelCommand(nil, id), id, 1), "never_mind 00000000000009b1\r\nturn 00000000000009b1 1\r\n"},
		"pages":            {appendPageCommand(appendPageCommand(nil, id, 1), id, 63), "turn 00000000000009b1 1\r\nturn 00000000000009b1 63\r\n"},
		"release of pages": {appendReleaseCommand(nil, id), "shut 00000000000009b1\r\n"},
		"priority":         {appendPriorityCommand(nil, id, -20), "hurry 00000000000009b1 -20\r\n"},
		"health check":     {appendHealthCheckCommand(nil, "p7"), "there p7\r\n"},
		"load report":      {appendLoadReportCommand(nil, "p7"), "busy p7\r\n"},
	} {
		if string(c.got) != c.want {
			t.Errorf("%s = %q, want %q", name, c.got, c.want)
		}
	}
}

// TestRequestAllocations checks that a request is encoded with one allocation, as every attempt needs it.
func TestRequestAllocations(t *testing.T) {
	request := requestCommand{id: "00000000000009b1", class: "interactive", timeLeftMS: 250, statement: "SELECT 1"}
	var encoded []byte
	allocations := testing.AllocsPerRun(100, func() { encoded = request.encode() })
	if allocations > 1 || len(encoded) == 0 {
		t.Errorf("allocations = %v, encoded bytes = %d, want at most 1 allocation and more than 0 bytes", allocations, len(encoded))
	}
}
