package traffic

import (
	"fmt"
	"io"

	"gannetspur/internal/testbed/workload"
)

// progressStep is the number of statements between calls of progress.
const progressStep = 1000

// Generate writes a number of statements of a workload. progress, if not nil, is called with the
// number of statements since its last call.
func Generate(w io.Writer, opts workload.Options, number int, rate float64, kind Arrivals, progress func(int)) error {
	times, err := newArrivals(kind, rate, number, opts.Seed)
	if err != nil {
		return err
	}
	head := Head{Seed: opts.Seed, Model: fmt.Sprintf("%+v", opts), Rate: rate, Arrivals: string(kind), Number: number}
	file, err := NewWriter(w, head)
	if err != nil {
		return err
	}
	world := workload.New(opts, number)
	for i := range number {
		r := RecordOf(world.Next())
		r.At = times.next()
		if err := file.Write(&r); err != nil {
			return err
		}
		if progress != nil && (i+1)%progressStep == 0 {
			progress(progressStep)
		}
	}
	return file.Close()
}

// RecordOf returns the record of a statement, without its arrival time.
func RecordOf(q workload.Statement) Record {
	return Record{
		Statement: q.SQL, Values: q.Values, Formats: q.Formats, Types: q.Types, HintWork: q.HintWork, HintMB: q.HintMB, Key: q.Key,
		Class: q.Class, Hard: q.Hard, Template: q.Template, Work: q.Work, MemoryMB: q.MemoryMB, Value: q.Value,
	}
}
