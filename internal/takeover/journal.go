package takeover

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/sentkeys"
	"gannetspur/internal/handover"
	"gannetspur/internal/netio"

	"golang.org/x/sys/unix"
)

const (
	// journalSuffix is the suffix of a process's journal: lines as in its file of sent ids, and clock lines, up to the first
	// zero byte.
	journalSuffix = ".journal"
	// journalBytes is the size of a journal.
	journalBytes = 2 << 20
	// clockLineInterval is the longest time between two lines that tell the clock, if others are written.
	clockLineInterval = time.Second
	// minRewriteInterval is the shortest time between two attempts to make room in a journal that is full.
	minRewriteInterval = time.Second
)

// clockLinePrefix begins a line that tells the clock, see clockLine.
const clockLinePrefix = "clock "

// bootIDFile holds an id that Linux draws at each start of the machine.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// journal is what a process has sent, for one that starts after its death. It is a file that is mapped into memory: a line costs
// no system call, and is in the file however the process ends. The file's blocks are reserved, as a write to a mapped page that
// the disk has no room for would end the process.
type journal struct {
	loop        *netio.Loop
	data        []byte
	used        int
	clockedAt   time.Duration // time of the latest clock line; 0: none
	rewrittenAt time.Duration // time of the latest rewrite
	rewrite     func(core.SentAnnouncer)
}

// openJournal creates a journal. rewrite announces all that is still remembered, when the journal is full.
func openJournal(path string, loop *netio.Loop, rewrite func(core.SentAnnouncer)) (*journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("takeover: journal: %w", err)
	}
	defer func() { _ = file.Close() }() // the mapping stays
	fd := int(file.Fd())
	if err := unix.Fallocate(fd, 0, 0, journalBytes); err != nil {
		return nil, fmt.Errorf("takeover: reserve the journal: %w", err)
	}
	data, err := unix.Mmap(fd, 0, journalBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("takeover: map the journal: %w", err)
	}
	return &journal{loop: loop, data: data, rewrite: rewrite}, nil
}

// Announce records an id.
func (j *journal) Announce(id string) { j.write(id) }

// Withdraw records that the request of an id never ran.
func (j *journal) Withdraw(id string) { j.write(neverRanLinePrefix + id) }

// AnnounceKey records an attempt of a request with an idempotency key.
func (j *journal) AnnounceKey(change sentkeys.Change) { j.write(keyLine(change)) }

// empty reports whether the journal has no line.
func (j *journal) empty() bool { return j.used == 0 }

// write appends a line, behind one that tells the clock if the latest is too old. It makes room first if there is none.
func (j *journal) write(line string) {
	now := j.loop.Now()
	text := line + "\n"
	if j.clockedAt == 0 || now-j.clockedAt >= clockLineInterval {
		text = clockLine(j.loop) + "\n" + text
	}
	if j.used+len(text) < len(j.data) {
		j.clockedAt = now
		j.used += copy(j.data[j.used:], text)
		return
	}
	if now-j.rewrittenAt < minRewriteInterval {
		return // what is remembered does not fit
	}
	j.rewrittenAt = now
	clear(j.data)
	j.used = 0
	j.clockedAt = 0
	j.rewrite(j) // the line is remembered already
}

// clockLine returns a line that tells the clock: the machine's boot, the loop's time and the machine's monotonic time.
func clockLine(loop *netio.Loop) string {
	clock := handover.ReadClock(loop)
	return fmt.Sprintf("%s%s %d %d", clockLinePrefix, bootID(), int64(clock.Now), int64(clock.Monotonic))
}

// bootID returns the id of the machine's latest start, or "-" if it can't be read.
func bootID() string {
	b, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "-"
	}
	return strings.TrimSpace(string(b))
}

// replayJournal passes on the lines of a dead process's journal that are not older than the machine's start. Their times are
// converted to the loop's clock: the system's time may have been stepped since.
func replayJournal(content []byte, loop *netio.Loop, receiver core.SentIDReceiver) {
	if end := bytes.IndexByte(content, 0); end >= 0 {
		content = content[:end]
	}
	lines, _ := completeLines(content)
	var shift, at time.Duration
	isCurrent := false
	for _, line := range lines {
		text, isClock := strings.CutPrefix(line, clockLinePrefix)
		if isClock {
			var boot string
			var clock handover.Clock
			_, err := fmt.Sscanf(text, "%s %d %d", &boot, &clock.Now, &clock.Monotonic)
			isCurrent = err == nil && boot == bootID()
			shift = loop.Now() - clock.Current()
			at = clock.Now + shift
			continue
		}
		if isCurrent {
			receiveLine(line, at, shift, receiver)
		}
	}
}
