// Package sqltext extracts what the gateway needs from a SQL statement without parsing it:
// its tokens by PostgreSQL's lexical rules, whether it may write, the group of tables that it
// names, its normal form and fingerprint, and what its values reveal about the size of the
// result. Everything is built on the type Lexer, takes time linear in the length of the text and
// allocates nothing except for results that are new strings.
//
// The rules are those of src/backend/parser/scan.l as the manual's chapter 4.1 ("Lexical
// Structure") describes them. Where PostgreSQL versions differ (a number followed by a letter,
// a backslash before a quote), the lexer follows the version that leaves the least of the
// statement inside literals, so that no write is hidden in one.
package sqltext
