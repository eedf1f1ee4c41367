// Package sqltext reads what the gateway needs of a SQL statement without parsing it: its
// tokens by PostgreSQL's lexical rules, whether it may write, the group of tables that it
// names, its normal form and fingerprint, and what its values say of its size. All of it
// is built on one Lexer, takes time linear in the text and, except for results that are
// strings of their own, allocates nothing.
//
// The rules are those of src/backend/parser/scan.l as the manual's chapter 4.1 ("Lexical
// Structure") describes them. Where versions differ (a number followed by a letter, a
// backslash before a quote), the reading is the one that hides least of the statement.
package sqltext
