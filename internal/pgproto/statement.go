package pgproto

// Statement is one execution of a statement with bound parameters, or a request to describe a
// statement. Other sites receive it in CBOR, with the field names in the tags.
type Statement struct {
	Query string `cbor:"Query"`
	// ParameterTypes is the number of parameters and their types, encoded as in Parse.
	ParameterTypes []byte `cbor:"Types"`
	// Bind is the body of the client's Bind after the two names: parameter formats, parameter values
	// and result formats, unchanged.
	Bind []byte `cbor:"Bind"`
	// DescribeOnly is true if the statement is only described, not executed.
	DescribeOnly bool `cbor:"Describe"`
	// BeginQuery is the text of the statement that begins the transaction, if this statement is the first
	// in a transaction. Otherwise it is empty.
	BeginQuery string `cbor:"Begin"`
	// EndsTransaction is true if the statement ends its transaction.
	EndsTransaction bool `cbor:"Ends"`
	// Settings lists the client's settings that apply to the statement, sorted by name. All other
	// settings have the engine's values.
	Settings []Setting `cbor:"Settings"`
	// ChangedSetting is the name of the setting that the statement changes, or empty if it changes none.
	ChangedSetting string `cbor:"Sets"`
	// TaintsSession is true if the statement may change the state of the engine's session.
	TaintsSession bool `cbor:"Taints"`
	// User is the user on whose behalf the statement runs. The connection pool limits the connections of
	// each user. User is not sent to other sites, which have users of their own.
	User string `cbor:"-"`
}

// SQL returns the statement's text.
func (s *Statement) SQL() string { return s.Query }

// Setting is a setting that a client has applied with SET.
type Setting struct {
	Name string `cbor:"Name"`
	Text string `cbor:"Text"` // text of the SET statement
}

// Result is the response of an engine. The messages and message bodies in it are as the engine sent
// them. Other sites receive it in CBOR, with the field names in the tags.
type Result struct {
	// ParameterDescription is the body of ParameterDescription. It is nil unless the statement was only
	// described.
	ParameterDescription []byte `cbor:"Params"`
	// RowDescription is the body of RowDescription, or nil if the engine sent NoData.
	RowDescription []byte `cbor:"Fields"`
	// Rows holds the complete DataRow messages in order.
	Rows []byte `cbor:"Rows"`
	// RowCount is the number of messages in Rows.
	RowCount int `cbor:"Count"`
	// Tag is the command tag of CommandComplete.
	Tag string `cbor:"Tag"`
	// EmptyQuery is true if the engine sent EmptyQueryResponse instead of CommandComplete.
	EmptyQuery bool `cbor:"Empty"`
	// ParameterStatus holds the complete ParameterStatus messages that a SET caused.
	ParameterStatus []byte `cbor:"Status"`
}

// Size returns the size of all rows in bytes.
func (r *Result) Size() int { return len(r.Rows) }
