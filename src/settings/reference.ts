/** Generates the reference page of a file from its schema. */
import { z } from "zod";

/** The parts of a JSON schema that the page shows. */
interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
  readonly additionalProperties?: SchemaNode | boolean;
}

interface Row {
  readonly path: string;
  readonly type: string;
  readonly defaultText: string;
  readonly description: string;
}

/**
 * Generates a reference page with one table row for each field of the schema.
 *
 * @param title - Title of the page.
 * @param introduction - Text before the table.
 * @param schema - Schema of the file.
 * @returns The page as Markdown.
 */
export function createReference(title: string, introduction: string, schema: z.ZodType): string {
  const root = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" }) as SchemaNode;
  const rows = listRows("", root, true);
  const lines = rows.map(
    ({ path, type, defaultText, description }) =>
      `| \`${path}\` | ${type} | ${defaultText} | ${description} |`,
  );
  const head = ["| Name | Type | Default | Meaning |", "| --- | --- | --- | --- |"];
  return [`# ${title}`, "", introduction, "", ...head, ...lines, ""].join("\n");
}

function listRows(path: string, node: SchemaNode, isRequired: boolean): readonly Row[] {
  if (node.properties !== undefined) {
    return Object.entries(node.properties).flatMap(([name, child]) =>
      listRows(path === "" ? name : `${path}.${name}`, child, node.required?.includes(name) ?? false),
    );
  }
  if (typeof node.additionalProperties === "object") {
    return listRows(`${path}.NAME`, node.additionalProperties, true);
  }
  if (node.items?.properties !== undefined) {
    return listRows(`${path}[]`, node.items, true);
  }
  const type =
    node.enum === undefined
      ? (node.type ?? "text")
      : node.enum.map((value) => `\`${String(value)}\``).join(", ");
  return [
    { path, type, defaultText: describeDefault(node, isRequired), description: node.description ?? "" },
  ];
}

function describeDefault(node: SchemaNode, isRequired: boolean): string {
  if (node.default !== undefined) {
    return `\`${JSON.stringify(node.default)}\``;
  }
  return isRequired ? "required" : "none";
}
