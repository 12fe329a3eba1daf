const ENTITIES: Readonly<Record<string, string>> = {
	'&': '&amp;',
	'<': '&lt;',
	'>': '&gt;',
	'"': '&quot;',
	"'": '&#39;',
};

/** Escapes a text for HTML and SVG. */
export function escapeHtml(text: string): string {
	return text.replaceAll(/[&<>"']/g, (character) => ENTITIES[character]!);
}

/** Renders a table; the first column holds labels, the others numbers. */
export function renderTable(
	head: readonly string[],
	rows: ReadonlyArray<readonly string[]>,
): string {
	const renderCells = (cells: readonly string[], tag: string) =>
		cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('');
	const body = rows.map((row) => `<tr>${renderCells(row, 'td')}</tr>`).join('');
	return `<table><thead><tr>${renderCells(head, 'th')}</tr></thead><tbody>${body}</tbody></table>`;
}
