package pgproto

// Statement is one bound execution, or a request to describe a statement. Other sites receive it
// in CBOR under the names in the tags.
type Statement struct {
	Query string `cbor:"Query"`
	// ParameterTypes is the count and the types of the parameters, as in Parse.
	ParameterTypes []byte `cbor:"Types"`
	// Bind is the body of a Bind past its two names: formats and values as they came.
	Bind []byte `cbor:"Bind"`
	// DescribeOnly is set where nothing runs.
	DescribeOnly bool `cbor:"Describe"`
	// BeginQuery begins the transaction, ahead of its first statement.
	BeginQuery string `cbor:"Begin"`
	// EndsTransaction is set where the statement ends its transaction.
	EndsTransaction bool `cbor:"Ends"`
	// Settings are those that the statement runs under, by name; others are as the engine has them.
	Settings []Setting `cbor:"Settings"`
	// ChangedSetting is the setting that the statement itself changes.
	ChangedSetting string `cbor:"Sets"`
	// TaintsSession is set where the statement may leave something in the engine's session.
	TaintsSession bool `cbor:"Taints"`
	// User is whom it runs for, of those who share the connections. Other sites know their own.
	User string `cbor:"-"`
}

// SQL returns the statement's text.
func (s *Statement) SQL() string { return s.Query }

// Setting is one setting of a client.
type Setting struct {
	Name string `cbor:"Name"`
	Text string `cbor:"Text"` // of the SET that made it
}

// Result is what an engine answered: the bodies of the messages as they came. Other sites
// receive it in CBOR under the names in the tags.
type Result struct {
	// ParameterDescription is set where only a description was requested.
	ParameterDescription []byte `cbor:"Params"`
	// RowDescription is nil where the engine answered NoData.
	RowDescription []byte `cbor:"Fields"`
	// Rows are complete DataRow messages in order.
	Rows []byte `cbor:"Rows"`
	// RowCount is the number of rows.
	RowCount int `cbor:"Count"`
	// Tag is that of CommandComplete.
	Tag string `cbor:"Tag"`
	// EmptyQuery is set where EmptyQueryResponse came in place of CommandComplete.
	EmptyQuery bool `cbor:"Empty"`
	// ParameterStatus holds complete ParameterStatus messages, of a SET.
	ParameterStatus []byte `cbor:"Status"`
}

// Size returns the number of bytes of all rows.
func (r *Result) Size() int { return len(r.Rows) }
