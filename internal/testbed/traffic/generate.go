package traffic

import (
	"fmt"
	"io"

	"gannetspur/internal/testbed/workload"
)

// progressStep is the number of statements between calls of progress.
const progressStep = 1000

// Generate writes a traffic file of number statements of a workload, which arrive at an average of rate
// statements per second. progress, if not nil, is called every progressStep statements with the number of
// statements since its last call.
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
	generator := workload.New(opts, number)
	for i := range number {
		r := RecordOf(generator.Next())
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
func RecordOf(s workload.Statement) Record {
	return Record{
		Statement: s.SQL, Values: s.Values, Formats: s.Formats, Types: s.Types, HintWork: s.HintWork, HintMB: s.HintMB, Key: s.Key,
		Class: s.Class, Hard: s.Hard, Template: s.Template, Work: s.Work, MemoryMB: s.MemoryMB, Value: s.Value,
	}
}
