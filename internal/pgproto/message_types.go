package pgproto

// Types of the messages that clients send after the startup message.
const (
	MessageBind         byte = 'B'
	MessageClose        byte = 'C'
	MessageCopyData     byte = 'd'
	MessageCopyDone     byte = 'c'
	MessageCopyFail     byte = 'f'
	MessageDescribe     byte = 'D'
	MessageExecute      byte = 'E'
	MessageFlush        byte = 'H'
	MessageFunctionCall byte = 'F'
	MessageParse        byte = 'P'
	MessagePassword     byte = 'p' // also the type of SASLInitialResponse and SASLResponse
	MessageQuery        byte = 'Q'
	MessageSync         byte = 'S'
	MessageTerminate    byte = 'X'
)

// Types of the messages that servers send.
const (
	MessageAuthentication           byte = 'R'
	MessageBackendKeyData           byte = 'K'
	MessageBindComplete             byte = '2'
	MessageCloseComplete            byte = '3'
	MessageCommandComplete          byte = 'C'
	MessageDataRow                  byte = 'D'
	MessageEmptyQueryResponse       byte = 'I'
	MessageErrorResponse            byte = 'E'
	MessageNegotiateProtocolVersion byte = 'v'
	MessageNoData                   byte = 'n'
	MessageNoticeResponse           byte = 'N'
	MessageNotificationResponse     byte = 'A'
	MessageParameterDescription     byte = 't'
	MessageParameterStatus          byte = 'S'
	MessageParseComplete            byte = '1'
	MessagePortalSuspended          byte = 's'
	MessageReadyForQuery            byte = 'Z'
	MessageRowDescription           byte = 'T'
)

// Answers to SSLRequest and GSSENCRequest. Each is a single byte without a message header.
const (
	EncryptionAccepted byte = 'S'
	EncryptionDeclined byte = 'N'
)

// Kinds of objects that Describe and Close refer to.
const (
	TargetStatement byte = 'S'
	TargetPortal    byte = 'P'
)

// Transaction status values in ReadyForQuery.
const (
	TransactionIdle   byte = 'I'
	TransactionOpen   byte = 'T'
	TransactionFailed byte = 'E'
)
