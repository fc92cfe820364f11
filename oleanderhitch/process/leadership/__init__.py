"""Know until when this store leads the configuration group."""
